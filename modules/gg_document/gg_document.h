#ifndef GG_DOCUMENT_GG_DOCUMENT_H_
#define GG_DOCUMENT_GG_DOCUMENT_H_

/** @file
    gg_document: the operators' traffic-steering document.

    Purpose: the document as typed structs, its parser, which reports the
    location of every error, and text operations on sections (split, join,
    replace, compare).
    Depends on: gg_core.
*/

#include "gg_document/document.h"
#include "gg_document/document_parser.h"
#include "gg_document/section_text.h"

#endif  // GG_DOCUMENT_GG_DOCUMENT_H_
