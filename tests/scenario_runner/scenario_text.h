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

/** The words of one line of a scenario. */
using Words = std::vector<std::string>;

/** Thrown when a step of the scenario fails. */
struct StepFailure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Splits a line at whitespace. A word in double quotes may contain whitespace;
    a word that begins with # starts a comment. */
Words SplitWords(const std::string& line);

/** Returns the words from index `from` on, separated by spaces. */
std::string JoinWords(const Words& words, size_t from);

/** Returns the word at `index`. Throws StepFailure if there is none. */
const std::string& WordAt(const Words& words, size_t index);

/** Returns the word that follows the word `name`, or `fallback` if there is
    none. */
std::string OptionValue(const Words& words, const std::string& name,
                        const std::string& fallback = "");

/** Replaces each $NAME by the value of that variable. */
Words Substitute(Words words,
                 const std::map<std::string, std::string>& variables);

/** Returns the content of a file. Throws StepFailure if it cannot be read. */
std::string ReadText(const std::filesystem::path& path);

/** Parses a duration such as "500ms" or "5s". Throws StepFailure for another
    unit and std::invalid_argument if there is no number. */
Duration ParseDuration(const std::string& text);

/** Returns the value at a path whose parts are separated by slashes. Numbers
    index arrays, and "count" is the number of items of an array or object.
    Returns null if there is no such value. */
nlohmann::json FindJson(const nlohmann::json& root, const std::string& path);

/** Returns a string value without quotes, and any other value as JSON. */
std::string PlainText(const nlohmann::json& value);

/** Compares by one of == != ~ < <= > >=, where ~ searches for a regular
    expression. The last four are false for a value that is not a number. Throws
    StepFailure if a number is compared by an unknown relation. */
bool Compare(const nlohmann::json& value, const std::string& relation,
             const std::string& wanted);

/** Replaces the parts of a transcript that differ from run to run, such as keys
    and times, by placeholders. */
std::string NormalizeTranscript(std::string transcript);

/** Returns random bytes or a corrupted request. */
std::string MakeGarbage(Random* random);

/** Prints the last 15 lines of a log file. */
void PrintLastLines(const std::filesystem::path& log);

}  // namespace greengage::scenario

#endif  // TESTS_SCENARIO_RUNNER_SCENARIO_TEXT_H_
