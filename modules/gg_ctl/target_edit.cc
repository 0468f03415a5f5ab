#include "gg_ctl/target_edit.h"

#include <yaml-cpp/yaml.h>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"

namespace greengage {
namespace {

/** YAML node of a target and its location in the text. */
struct TargetLocation {
  YAML::Node item;
  size_t name_key_offset = 0;  // of the key "name", from the start of the text
};

absl::StatusOr<TargetLocation> FindTarget(const std::string& text,
                                          const std::string& service,
                                          const std::string& target) {
  try {
    const YAML::Node root = YAML::Load(text);
    for (const auto& item : root[service]["targets"]) {
      for (const auto& entry : item) {
        const bool is_name = entry.first.as<std::string>("") == "name" &&
                             entry.second.as<std::string>("") == target;
        if (is_name) {
          return TargetLocation{item,
                                static_cast<size_t>(entry.first.Mark().pos)};
        }
      }
    }
  } catch (const YAML::Exception& error) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kDocumentParse,
                     service, error.what());
  }
  return StepError(absl::StatusCode::kNotFound, Step::kDocumentCheck, service,
                   absl::StrCat("no target '", target, "'"));
}

}  // namespace

absl::StatusOr<std::string> SetTargetLeaving(const std::string& section_text,
                                             const std::string& service,
                                             const std::string& target,
                                             bool is_leaving) {
  const absl::StatusOr<TargetLocation> location =
      FindTarget(section_text, service, target);
  if (!location.ok()) return location.status();
  const std::string value = is_leaving ? "true" : "false";
  std::string text = section_text;
  const YAML::Node existing = location->item["leaving"];
  if (existing) {
    text.replace(existing.Mark().pos, existing.Scalar().size(), value);
    return text;
  }
  const bool is_flow_style = location->item.Style() == YAML::EmitterStyle::Flow;
  const size_t line_start = text.rfind('\n', location->name_key_offset) + 1;
  const std::string separator =
      is_flow_style
          ? ", "
          : "\n" + std::string(location->name_key_offset - line_start, ' ');
  text.insert(location->name_key_offset,
              absl::StrCat("leaving: ", value, separator));
  return text;
}

}  // namespace greengage
