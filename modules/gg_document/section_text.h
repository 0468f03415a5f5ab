#ifndef GG_DOCUMENT_SECTION_TEXT_H_
#define GG_DOCUMENT_SECTION_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace greengage {

/** Text of one section: from its top-level key to the next one. Comment lines
    before a key belong to that key's section. */
struct SectionText {
  std::string name;
  std::string text;

  friend bool operator==(const SectionText&, const SectionText&) = default;
};

/** Splits a document into its sections, in order. Joining the texts gives the
    document back byte for byte. */
std::vector<SectionText> SplitSections(std::string_view document);

/** Joins sections into one document. */
std::string JoinSections(const std::vector<SectionText>& sections);

/** Returns the section called `name`, or nullptr. */
const SectionText* FindSection(const std::vector<SectionText>& sections,
                               std::string_view name);

/** Replaces or appends one section.
    @param text  the section's whole text, which must hold exactly the one
                 top-level key `name`; otherwise kInvalidArgument.
    @param document  the document that the section goes into. */
absl::StatusOr<std::string> ReplaceSection(std::string_view document,
                                           std::string_view name,
                                           std::string_view text);

/** Returns the names of the sections that differ, those added or removed
    included, in the order of `after`. */
std::vector<std::string> ChangedSections(const std::vector<SectionText>& before,
                                         const std::vector<SectionText>& after);

/** Returns a line-by-line difference: lines with "-" only in `before`, "+" only
    in `after`, " " in both. */
std::string LineDiff(std::string_view before, std::string_view after);

}  // namespace greengage

#endif  // GG_DOCUMENT_SECTION_TEXT_H_
