#include "gg_ctl/target_edit.h"

#include <yaml-cpp/yaml.h>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"

namespace greengage {
namespace {

struct TargetPlace {
  YAML::Node item;
  size_t name_key = 0;  // offset of the key "name" in the text
};

absl::StatusOr<TargetPlace> FindTarget(const std::string& text,
                                       const std::string& service,
                                       const std::string& target) {
  try {
    const YAML::Node root = YAML::Load(text);
    for (const auto& item : root[service]["targets"]) {
      for (const auto& entry : item) {
        const bool is_name = entry.first.as<std::string>("") == "name" &&
                             entry.second.as<std::string>("") == target;
        if (is_name) {
          return TargetPlace{item, static_cast<size_t>(entry.first.Mark().pos)};
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
                                             bool leaving) {
  const absl::StatusOr<TargetPlace> place =
      FindTarget(section_text, service, target);
  if (!place.ok()) return place.status();
  const std::string value = leaving ? "true" : "false";
  std::string text = section_text;
  const YAML::Node old = place->item["leaving"];
  if (old) {
    text.replace(old.Mark().pos, old.Scalar().size(), value);
    return text;
  }
  const bool is_flow = place->item.Style() == YAML::EmitterStyle::Flow;
  const size_t line_start = text.rfind('\n', place->name_key) + 1;
  const std::string separator =
      is_flow ? ", " : "\n" + std::string(place->name_key - line_start, ' ');
  text.insert(place->name_key, absl::StrCat("leaving: ", value, separator));
  return text;
}

}  // namespace greengage
