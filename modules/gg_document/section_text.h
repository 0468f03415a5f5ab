#ifndef GG_DOCUMENT_SECTION_TEXT_H_
#define GG_DOCUMENT_SECTION_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace greengage {

/** Text of one section, which extends from its top-level key to the next one.
    Comment lines directly before a key belong to the section of that key. */
struct SectionText {
  std::string name;
  std::string text;

  friend bool operator==(const SectionText&, const SectionText&) = default;
};

/** Splits a document into its sections, in document order. JoinSections()
    restores the document byte for byte. */
std::vector<SectionText> SplitSections(std::string_view document);

/** Concatenates the texts of sections into one document. */
std::string JoinSections(const std::vector<SectionText>& sections);

/** Returns the section called `name`, or nullptr. */
const SectionText* FindSection(const std::vector<SectionText>& sections,
                               std::string_view name);

/** Replaces the section called `name`, or appends it when there is none.
    @param text  the whole text of the section.
    @return the new document; kInvalidArgument unless `name` is the only
            top-level key in `text`. */
absl::StatusOr<std::string> ReplaceSection(std::string_view document,
                                           std::string_view name,
                                           std::string_view text);

/** Returns the names of the sections that were changed, added or removed.
    Removed sections come last. */
std::vector<std::string> ChangedSections(const std::vector<SectionText>& before,
                                         const std::vector<SectionText>& after);

/** Compares two texts line by line. In the result, lines that are only in
    `before` start with "-", lines only in `after` with "+", and common lines
    with a space. */
std::string LineDiff(std::string_view before, std::string_view after);

}  // namespace greengage

#endif  // GG_DOCUMENT_SECTION_TEXT_H_
