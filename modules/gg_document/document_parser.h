#ifndef GG_DOCUMENT_DOCUMENT_PARSER_H_
#define GG_DOCUMENT_DOCUMENT_PARSER_H_

#include <string>

#include "absl/status/statusor.h"
#include "gg_document/document.h"

namespace greengage {

/** Largest document accepted, in bytes: the platform's limit on one value. */
inline constexpr size_t kMaxDocumentBytes = 1'000'000;

/** Parses and checks a whole document.

    An error names line, column and path within the document, what is wrong and
    what to write instead; it has the code kInvalidArgument and the step
    document_parse or document_check. Unknown keys are errors. The result is
    complete: all references between sections have been resolved. */
absl::StatusOr<DocumentPtr> ParseDocument(const std::string& text);

}  // namespace greengage

#endif  // GG_DOCUMENT_DOCUMENT_PARSER_H_
