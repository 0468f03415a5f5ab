#ifndef GG_DOCUMENT_YAML_READER_H_
#define GG_DOCUMENT_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <string>
#include <string_view>
#include <vector>

#include "gg_core/time.h"

namespace greengage {

/** List of the problems found in one document, each with its location. */
class ProblemList {
 public:
  /** Adds a problem, formatted as "line L, column C, at PATH: what; remedy". */
  void Add(const YAML::Mark& mark, std::string_view path, std::string_view what,
           std::string_view remedy);

  bool empty() const { return problems_.empty(); }

  /** Returns all problems, one per line. */
  std::string ToString() const;

 private:
  std::vector<std::string> problems_;
};

/** Permitted range of a number; both limits are inclusive. */
struct NumberRange {
  double min = 0;
  double max = 0;
};

/** Typed access to one YAML node.

    Problems are added to a ProblemList with their location; no exceptions are
    thrown for them. The ProblemList must outlive the reader. Not
    thread-safe. */
class YamlReader {
 public:
  YamlReader(const YAML::Node& node, std::string path, ProblemList* problems);

  //==============================================================================
  /** Returns whether the document contains the node with a value. */
  bool is_present() const;

  /** Returns the path of the node in the document, such as
      "shop.targets[0]". */
  const std::string& path() const { return path_; }

  /** Adds a problem at this node. */
  void AddProblem(std::string_view what, std::string_view remedy) const;

  /** Checks that this is a mapping without duplicate keys or keys other than
      `allowed`.
      @return false when it is not a mapping. */
  bool CheckKeys(const std::vector<std::string_view>& allowed) const;

  //==============================================================================
  /** Returns the child under `key`. If there is none, the reader returned is
      not present. */
  YamlReader Child(const std::string& key) const;

  struct Entry;

  /** Returns the keys and values of a mapping, in document order. */
  std::vector<Entry> Entries() const;

  /** Returns the items of a sequence. */
  std::vector<YamlReader> Items() const;

  //==============================================================================
  /** Returns a non-empty string. Adds a problem when there is none. */
  std::string RequiredString(std::string_view remedy) const;

  /** Returns a number within `range`. Adds a problem when there is none. */
  double RequiredNumber(NumberRange range) const;

  /** Returns a number within `range`, or `fallback` when the node is absent. */
  double NumberOr(NumberRange range, double fallback) const;

  /** Returns an integer within `range`. Adds a problem when there is none. */
  int64_t RequiredInteger(NumberRange range) const;

  /** Returns a boolean, or `fallback` when the node is absent. */
  bool BooleanOr(bool fallback) const;

  /** Returns a duration written as "250ms", "5s", "10m" or "2h", or `fallback`
      when the node is absent. Adds a problem when it exceeds 24 hours. */
  Duration DurationOr(Duration fallback) const;

  /** Returns a size in bytes, written as a number with an optional KB, MB or GB
      (powers of 1000), or `fallback` when the node is absent. */
  int64_t ByteCountOr(int64_t fallback) const;

  /** Returns the strings of a sequence; empty when the node is absent. */
  std::vector<std::string> Strings() const;

 private:
  double NumberWithUnitOr(
      const std::vector<std::pair<std::string_view, double>>& units,
      std::string_view remedy, double fallback) const;

  YAML::Node node_;
  std::string path_;
  ProblemList* problems_;
};

/** Key and value of a mapping. */
struct YamlReader::Entry {
  std::string key;
  YamlReader value;
};

}  // namespace greengage

#endif  // GG_DOCUMENT_YAML_READER_H_
