#ifndef GG_DOCUMENT_DOCUMENT_PARSER_H_
#define GG_DOCUMENT_DOCUMENT_PARSER_H_

#include <string>

#include "absl/status/statusor.h"
#include "gg_document/document.h"

namespace greengage {

/** Largest document accepted, in bytes. Equal to the platform's limit on the
    size of one value. */
inline constexpr size_t kMaxDocumentBytes = 1'000'000;

/** Parses and validates a whole document.

    Errors have the code kInvalidArgument and the step document_parse or
    document_check. The message states, for each problem, the line, the column
    and the path within the document, what is wrong, and what to write instead.
    Unknown keys are errors. In a document that is returned, every reference
    from one section to another is valid. */
absl::StatusOr<DocumentPtr> ParseDocument(const std::string& text);

}  // namespace greengage

#endif  // GG_DOCUMENT_DOCUMENT_PARSER_H_
