#ifndef GG_CTL_GG_CTL_H_
#define GG_CTL_GG_CTL_H_

/** @file
    gg_ctl: the operators' tool.

    Purpose: reads, checks, edits and audits the steering document in the store,
    and asks daemons for their state.
    Depends on: gg_core, gg_document, gg_store.
*/

#include "gg_ctl/ctl_app.h"
#include "gg_ctl/document_editor.h"
#include "gg_ctl/http_get.h"
#include "gg_ctl/target_edit.h"

#endif  // GG_CTL_GG_CTL_H_
