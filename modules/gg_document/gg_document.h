#ifndef GG_DOCUMENT_GG_DOCUMENT_H_
#define GG_DOCUMENT_GG_DOCUMENT_H_

/** @file
    gg_document: the operators' steering document.

    Purpose: the typed form of the document, its parser with precise errors, and
    the text operations on sections (split, replace, difference, merge).
    Depends on: gg_core.
*/

#include "gg_document/document.h"
#include "gg_document/document_parser.h"
#include "gg_document/section_text.h"

#endif  // GG_DOCUMENT_GG_DOCUMENT_H_
