#ifndef GG_DOCUMENT_YAML_READER_H_
#define GG_DOCUMENT_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <string>
#include <string_view>
#include <vector>

#include "gg_core/time.h"

namespace greengage {

/** Problems found while reading one document, each with its place. */
class ProblemList {
 public:
  /** Adds "line L, column C, at PATH: what; remedy". */
  void Add(const YAML::Mark& mark, std::string_view path, std::string_view what,
           std::string_view remedy);

  bool empty() const { return problems_.empty(); }

  /** Returns all problems, a line each. */
  std::string ToString() const;

 private:
  std::vector<std::string> problems_;
};

/** Numeric limits of a value, both inclusive. */
struct NumberRange {
  double min = 0;
  double max = 0;
};

/** Typed view of one YAML node that records every problem with its place
    instead of throwing. One thread at a time; it refers to the ProblemList it
    was made with. */
class YamlReader {
 public:
  YamlReader(const YAML::Node& node, std::string path, ProblemList* problems);

  //==============================================================================
  /** True when the node was written in the document. */
  bool is_present() const;
  const std::string& path() const { return path_; }

  /** Adds a problem at this node. */
  void AddProblem(std::string_view what, std::string_view remedy) const;

  /** Checks that this is a mapping with keys from `allowed` only. */
  bool CheckKeys(const std::vector<std::string_view>& allowed) const;

  //==============================================================================
  /** Returns the child under `key`; absent children read as defaults. */
  YamlReader Child(const std::string& key) const;

  /** Returns the children of a mapping as (key, reader) in document order. */
  struct Entry;
  std::vector<Entry> Entries() const;

  /** Returns the items of a sequence. */
  std::vector<YamlReader> Items() const;

  //==============================================================================
  /** Returns a non-empty string; a missing one is a problem. */
  std::string RequiredString(std::string_view remedy) const;

  /** Returns a number within `range`; a missing one is a problem. */
  double RequiredNumber(NumberRange range) const;

  /** Returns a number within `range`, or `fallback` when absent. */
  double NumberOr(NumberRange range, double fallback) const;

  /** Returns a whole number within `range`; a missing one is a problem. */
  int64_t RequiredInteger(NumberRange range) const;

  /** Returns true or false, or `fallback` when absent. */
  bool BooleanOr(bool fallback) const;

  /** Returns a length of time written as "250ms", "5s" or "10m", or `fallback`
      when absent. */
  Duration DurationOr(Duration fallback) const;

  /** Returns a size written as a number with an optional KB, MB or GB, in
      bytes, or `fallback` when absent. */
  int64_t ByteCountOr(int64_t fallback) const;

  /** Returns a sequence of strings. */
  std::vector<std::string> Strings() const;

 private:
  double NumberWithUnitOr(
      const std::vector<std::pair<std::string_view, double>>& units,
      std::string_view remedy, double fallback) const;

  YAML::Node node_;
  std::string path_;
  ProblemList* problems_;
};

/** Child of a mapping. */
struct YamlReader::Entry {
  std::string key;
  YamlReader value;
};

}  // namespace greengage

#endif  // GG_DOCUMENT_YAML_READER_H_
