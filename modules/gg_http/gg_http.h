#ifndef GG_HTTP_GG_HTTP_H_
#define GG_HTTP_GG_HTTP_H_

/** @file
    gg_http: the HTTP side of a daemon.

    Purpose: accepts connections from callers, answers look-ups, forwards
    requests to targets, runs each order at most once, and serves the endpoints
    for operators.
    Depends on: gg_core, gg_insight, gg_document, gg_steering, gg_store.
*/

#include "gg_http/admin_handler.h"
#include "gg_http/caller_connection.h"
#include "gg_http/forwarder.h"
#include "gg_http/header_policy.h"
#include "gg_http/http_types.h"
#include "gg_http/lookup_handler.h"
#include "gg_http/order_claims.h"
#include "gg_http/order_runner.h"
#include "gg_http/refusal_response.h"
#include "gg_http/request_dispatcher.h"
#include "gg_http/target_connection_pool.h"
#include "gg_http/target_exchange.h"
#include "gg_http/traffic_server.h"

#endif  // GG_HTTP_GG_HTTP_H_
