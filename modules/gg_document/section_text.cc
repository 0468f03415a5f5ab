#include "gg_document/section_text.h"

#include <algorithm>
#include <cctype>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"

namespace greengage {
namespace {

std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const size_t length = end == std::string_view::npos ? text.size() : end + 1;
    lines.push_back(text.substr(0, length));
    text.remove_prefix(length);
  }
  return lines;
}

/** Returns the top-level key that `line` starts with, or "". */
std::string_view TopLevelKey(std::string_view line) {
  if (line.empty() || std::isalnum(static_cast<unsigned char>(line[0])) == 0) {
    return "";
  }
  return line.substr(0, std::min(line.find(':'), line.size()));
}

bool IsCommentOrBlank(std::string_view line) {
  return line.empty() || line[0] == '#' || line[0] == '\n' || line[0] == '\r';
}

std::string WithFinalNewline(std::string_view text) {
  std::string result(text);
  if (!result.empty() && result.back() != '\n') result += '\n';
  return result;
}

}  // namespace

std::vector<SectionText> SplitSections(std::string_view document) {
  std::vector<SectionText> sections;
  // Comments and blank lines that belong to the next key, if one follows.
  std::string pending;
  for (const std::string_view line : SplitLines(document)) {
    const std::string_view key = TopLevelKey(line);
    if (!key.empty()) {
      sections.push_back({std::string(key), pending + std::string(line)});
      pending.clear();
    } else if (IsCommentOrBlank(line) || sections.empty()) {
      pending += line;
    } else {
      sections.back().text += pending + std::string(line);
      pending.clear();
    }
  }
  if (!sections.empty()) {
    sections.back().text += pending;
  } else if (!pending.empty()) {
    sections.push_back({"", pending});
  }
  return sections;
}

std::string JoinSections(const std::vector<SectionText>& sections) {
  std::string document;
  for (const SectionText& section : sections) document += section.text;
  return document;
}

const SectionText* FindSection(const std::vector<SectionText>& sections,
                               std::string_view name) {
  const auto found =
      std::find_if(sections.begin(), sections.end(),
                   [&](const SectionText& s) { return s.name == name; });
  return found == sections.end() ? nullptr : &*found;
}

absl::StatusOr<std::string> ReplaceSection(std::string_view document,
                                           std::string_view name,
                                           std::string_view text) {
  const std::string section_text = WithFinalNewline(text);
  const std::vector<SectionText> parsed = SplitSections(section_text);
  if (parsed.size() != 1 || parsed[0].name != name) {
    return StepError(
        absl::StatusCode::kInvalidArgument, Step::kDocumentCheck, name,
        absl::StrCat("the text must contain exactly one top-level key, '",
                     std::string(name), "'; apply other sections separately"));
  }
  std::vector<SectionText> sections = SplitSections(WithFinalNewline(document));
  const auto found =
      std::find_if(sections.begin(), sections.end(),
                   [&](const SectionText& s) { return s.name == name; });
  if (found == sections.end()) {
    sections.push_back(parsed[0]);
  } else {
    found->text = parsed[0].text;
  }
  return JoinSections(sections);
}

std::vector<std::string> ChangedSections(
    const std::vector<SectionText>& before,
    const std::vector<SectionText>& after) {
  std::vector<std::string> changed;
  for (const SectionText& section : after) {
    const SectionText* old = FindSection(before, section.name);
    if (old == nullptr || old->text != section.text) {
      changed.push_back(section.name);
    }
  }
  for (const SectionText& section : before) {
    if (FindSection(after, section.name) == nullptr) {
      changed.push_back(section.name);
    }
  }
  return changed;
}

std::string LineDiff(std::string_view before, std::string_view after) {
  const std::vector<std::string_view> before_lines = SplitLines(before);
  const std::vector<std::string_view> after_lines = SplitLines(after);
  // Dynamic programming: element (i, j) is the length of the longest common
  // subsequence of the lines of `before` from i and of `after` from j.
  const size_t columns = after_lines.size() + 1;
  std::vector<uint32_t> common_length((before_lines.size() + 1) * columns, 0);
  for (size_t i = before_lines.size(); i-- > 0;) {
    for (size_t j = after_lines.size(); j-- > 0;) {
      common_length[i * columns + j] =
          before_lines[i] == after_lines[j]
              ? common_length[(i + 1) * columns + j + 1] + 1
              : std::max(common_length[(i + 1) * columns + j],
                         common_length[i * columns + j + 1]);
    }
  }
  std::string result;
  const auto append_line = [&](char marker, std::string_view line) {
    absl::StrAppend(&result, std::string(1, marker), WithFinalNewline(line));
  };
  size_t i = 0;
  size_t j = 0;
  while (i < before_lines.size() || j < after_lines.size()) {
    if (i < before_lines.size() && j < after_lines.size() &&
        before_lines[i] == after_lines[j]) {
      append_line(' ', before_lines[i]);
      ++i;
      ++j;
    } else if (j == after_lines.size() ||
               (i < before_lines.size() &&
                common_length[(i + 1) * columns + j] >=
                    common_length[i * columns + j + 1])) {
      append_line('-', before_lines[i++]);
    } else {
      append_line('+', after_lines[j++]);
    }
  }
  return result;
}

}  // namespace greengage
