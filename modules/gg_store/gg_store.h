#ifndef GG_STORE_GG_STORE_H_
#define GG_STORE_GG_STORE_H_

/** @file
    gg_store: client of the platform's key-value service.

    Purpose: reads, compare-and-swap, leases and watches over the JSON form of
    the etcd v3 protocol, and a session that reads and watches shared keys.
    Also the reading of HTTP messages for all modules. Depends on: gg_core,
    gg_insight.
*/

#include "gg_store/asio.h"
#include "gg_store/bounded_parser.h"
#include "gg_store/message_parsing.h"
#include "gg_store/response_parser.h"
#include "gg_store/response_reading.h"
#include "gg_store/store_client.h"
#include "gg_store/store_codec.h"
#include "gg_store/store_session.h"
#include "gg_store/store_types.h"

#endif  // GG_STORE_GG_STORE_H_
