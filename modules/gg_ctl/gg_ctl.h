#ifndef GG_CTL_GG_CTL_H_
#define GG_CTL_GG_CTL_H_

/** @file
    gg_ctl: the operators' command-line tool.

    Purpose: reads, checks, edits and audits the traffic-steering document in
    the store, queries the state of daemons, and reconstructs the history of a
    request from logs.
    Depends on: gg_core, gg_document, gg_store.
*/

#include "gg_ctl/ctl_app.h"
#include "gg_ctl/document_editor.h"
#include "gg_ctl/http_get.h"
#include "gg_ctl/log_line.h"
#include "gg_ctl/request_history.h"
#include "gg_ctl/target_edit.h"

#endif  // GG_CTL_GG_CTL_H_
