#include "gg_document/yaml_reader.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace greengage {
namespace {

std::string JoinNames(const std::vector<std::string_view>& names) {
  std::string joined;
  for (const std::string_view name : names) {
    if (!joined.empty()) joined += ", ";
    joined += name;
  }
  return joined;
}

}  // namespace

void ProblemList::Add(const YAML::Mark& mark, std::string_view path,
                      std::string_view what, std::string_view remedy) {
  const std::string location =
      mark.is_null() ? ""
                     : absl::StrCat("line ", mark.line + 1, ", column ",
                                    mark.column + 1, ", ");
  problems_.push_back(absl::StrCat(location, "at ", std::string(path), ": ",
                                   std::string(what), "; ",
                                   std::string(remedy)));
}

std::string ProblemList::ToString() const {
  return absl::StrJoin(problems_, "\n");
}

YamlReader::YamlReader(const YAML::Node& node, std::string path,
                       ProblemList* problems)
    : node_(node), path_(std::move(path)), problems_(problems) {}

bool YamlReader::is_present() const {
  return node_.IsDefined() && !node_.IsNull();
}

void YamlReader::AddProblem(std::string_view what,
                            std::string_view remedy) const {
  problems_->Add(node_.IsDefined() ? node_.Mark() : YAML::Mark::null_mark(),
                 path_, what, remedy);
}

bool YamlReader::CheckKeys(const std::vector<std::string_view>& allowed) const {
  if (!is_present() || !node_.IsMap()) {
    AddProblem("expected a mapping",
               absl::StrCat("write the keys ", JoinNames(allowed)));
    return false;
  }
  std::set<std::string> seen;
  for (const auto& item : node_) {
    const auto key = item.first.as<std::string>("");
    if (!seen.insert(key).second) {
      problems_->Add(item.first.Mark(), absl::StrCat(path_, ".", key),
                     "duplicate key", "keep one of them");
    }
    if (std::find(allowed.begin(), allowed.end(), key) != allowed.end()) {
      continue;
    }
    problems_->Add(
        item.first.Mark(), absl::StrCat(path_, ".", key), "unknown key",
        absl::StrCat("remove it or use one of ", JoinNames(allowed)));
  }
  return true;
}

YamlReader YamlReader::Child(const std::string& key) const {
  const std::string child_path =
      path_.empty() ? key : absl::StrCat(path_, ".", key);
  const bool has_child = node_.IsDefined() && node_.IsMap() && node_[key];
  if (!has_child) {
    return {YAML::Node(YAML::NodeType::Undefined), child_path, problems_};
  }
  return {node_[key], child_path, problems_};
}

std::vector<YamlReader::Entry> YamlReader::Entries() const {
  std::vector<Entry> entries;
  if (!is_present()) return entries;
  if (!node_.IsMap()) {
    AddProblem("expected a mapping", "write one 'name: value' per line");
    return entries;
  }
  for (const auto& item : node_) {
    const auto key = item.first.as<std::string>("");
    const std::string child_path =
        path_.empty() ? key : absl::StrCat(path_, ".", key);
    entries.push_back({key, YamlReader(item.second, child_path, problems_)});
  }
  return entries;
}

std::vector<YamlReader> YamlReader::Items() const {
  std::vector<YamlReader> items;
  if (!is_present()) return items;
  if (!node_.IsSequence()) {
    AddProblem("expected a list", "start each item with '- '");
    return items;
  }
  for (size_t i = 0; i < node_.size(); ++i) {
    items.emplace_back(node_[i], absl::StrCat(path_, "[", i, "]"), problems_);
  }
  return items;
}

std::string YamlReader::RequiredString(std::string_view remedy) const {
  if (!is_present() || !node_.IsScalar() || node_.Scalar().empty()) {
    AddProblem("missing string", remedy);
    return "";
  }
  return node_.Scalar();
}

double YamlReader::RequiredNumber(NumberRange range) const {
  if (!is_present()) {
    AddProblem("missing number", absl::StrCat("write a number from ", range.min,
                                              " to ", range.max));
    return range.min;
  }
  return NumberOr(range, range.min);
}

double YamlReader::NumberOr(NumberRange range, double fallback) const {
  if (!is_present()) return fallback;
  double value = 0;
  const bool is_number =
      node_.IsScalar() && YAML::convert<double>::decode(node_, value);
  if (!is_number || !std::isfinite(value) || value < range.min ||
      value > range.max) {
    AddProblem(
        "not a number in range",
        absl::StrCat("write a number from ", range.min, " to ", range.max));
    return fallback;
  }
  return value;
}

int64_t YamlReader::RequiredInteger(NumberRange range) const {
  const double value = RequiredNumber(range);
  if (value != std::floor(value)) {
    AddProblem("not an integer", "remove the fractional part");
  }
  return static_cast<int64_t>(value);
}

bool YamlReader::BooleanOr(bool fallback) const {
  if (!is_present()) return fallback;
  bool value = fallback;
  if (!node_.IsScalar() || !YAML::convert<bool>::decode(node_, value)) {
    AddProblem("not a boolean", "write true or false");
  }
  return value;
}

double YamlReader::NumberWithUnitOr(
    const std::vector<std::pair<std::string_view, double>>& units,
    std::string_view remedy, double fallback) const {
  if (!is_present()) return fallback;
  const std::string text = node_.IsScalar() ? node_.Scalar() : "";
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  const std::string_view unit = end;
  for (const auto& [name, factor] : units) {
    const bool has_digits = end != text.c_str();
    if (has_digits && unit == name && std::isfinite(value) && value >= 0) {
      return value * factor;
    }
  }
  AddProblem(absl::StrCat("cannot read '", text, "'"), remedy);
  return fallback;
}

Duration YamlReader::DurationOr(Duration fallback) const {
  static constexpr double kMaxSeconds = 86400;
  const double seconds = NumberWithUnitOr(
      {{"ms", 0.001}, {"s", 1}, {"m", 60}, {"h", 3600}},
      "write a duration such as 250ms, 5s or 10m", ToSeconds(fallback));
  if (seconds > kMaxSeconds) {
    AddProblem("duration exceeds one day", "write at most 24h");
    return fallback;
  }
  return FromSeconds(seconds);
}

int64_t YamlReader::ByteCountOr(int64_t fallback) const {
  static constexpr double kMaxBytes = 1e15;
  const double bytes = NumberWithUnitOr(
      {{"", 1}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}},
      "write a size such as 64KB, 10MB or 1GB", static_cast<double>(fallback));
  if (bytes > kMaxBytes) {
    AddProblem("size out of range", "write at most 1000000GB");
    return fallback;
  }
  return static_cast<int64_t>(bytes);
}

std::vector<std::string> YamlReader::Strings() const {
  std::vector<std::string> strings;
  for (const YamlReader& item : Items()) {
    strings.push_back(item.RequiredString("write a name"));
  }
  return strings;
}

}  // namespace greengage
