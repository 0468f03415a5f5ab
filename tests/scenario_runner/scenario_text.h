#ifndef TESTS_SCENARIO_RUNNER_SCENARIO_TEXT_H_
#define TESTS_SCENARIO_RUNNER_SCENARIO_TEXT_H_

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "gg_core/random.h"
#include "gg_core/time.h"

namespace greengage::scenario {

using Words = std::vector<std::string>;

/** A step of the scenario did not hold. */
struct StepFailure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Splits a line at blanks; quotes keep a word together, # begins a comment. */
Words SplitWords(const std::string& line);

/** Returns the words from `from` on, with blanks between them. */
std::string JoinWords(const Words& words, size_t from);

/** Returns a word; a Failure when there is none at `index`. */
const std::string& WordAt(const Words& words, size_t index);

/** Returns the word after `name`, or `fallback`. */
std::string OptionValue(const Words& words, const std::string& name,
                        const std::string& fallback = "");

/** Replaces each $NAME by its value. */
Words Substitute(Words words,
                 const std::map<std::string, std::string>& variables);

/** Reads a file; a Failure when it can't be read. */
std::string ReadText(const std::filesystem::path& path);

/** Reads "500ms" or "5s"; a Failure for anything else. */
Duration ParseDuration(const std::string& text);

/** Finds a value by a path with slashes; numbers index arrays, and "count" is
    the number of items. */
nlohmann::json FindJson(const nlohmann::json& root, const std::string& path);

/** Returns a string without its quotes, anything else as JSON. */
std::string PlainText(const nlohmann::json& value);

/** Compares by one of == != ~ < <= > >=; a Failure for another relation. */
bool Compare(const nlohmann::json& value, const std::string& relation,
             const std::string& wanted);

/** Replaces what differs from run to run by fixed words. */
std::string NormalizeTranscript(std::string transcript);

/** Returns bytes of chance, or a broken form of a request. */
std::string MakeGarbage(Random* random);

/** Prints the last lines of a log. */
void PrintLastLines(const std::filesystem::path& log);

}  // namespace greengage::scenario

#endif  // TESTS_SCENARIO_RUNNER_SCENARIO_TEXT_H_
