#include "scenario_runner/scenario_text.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <regex>
#include <sstream>

namespace greengage::scenario {

using nlohmann::json;

Words SplitWords(const std::string& line) {
  Words words;
  std::istringstream stream(line);
  std::string word;
  while (stream >> std::ws && stream.peek() != EOF) {
    if (stream.peek() == '#') break;
    if (stream.peek() == '"') {
      stream >> std::quoted(word);
    } else {
      stream >> word;
    }
    words.push_back(word);
  }
  return words;
}

Duration ParseDuration(const std::string& text) {
  size_t parsed_length = 0;
  const double value = std::stod(text, &parsed_length);
  const std::string unit = text.substr(parsed_length);
  if (unit == "ms") return FromSeconds(value / 1000);
  if (unit == "s") return FromSeconds(value);
  throw StepFailure("'" + text + "' is not a duration; write 500ms or 5s");
}

std::string JoinWords(const Words& words, size_t from) {
  std::string text;
  for (size_t i = from; i < words.size(); ++i) {
    text += (i == from ? "" : " ") + words[i];
  }
  return text;
}

json FindJson(const json& root, const std::string& path) {
  const json* position = &root;
  std::istringstream parts(path);
  std::string part;
  while (std::getline(parts, part, '/')) {
    if (position->is_object() && position->contains(part)) {
      position = &position->at(part);
    } else if (position->is_array() && !part.empty() &&
               part.find_first_not_of("0123456789") == std::string::npos &&
               std::stoul(part) < position->size()) {
      position = &position->at(std::stoul(part));
    } else if (part == "count") {
      return position->size();
    } else {
      return nullptr;
    }
  }
  return *position;
}

std::string PlainText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool Compare(const json& value, const std::string& relation,
             const std::string& wanted) {
  const std::string text = PlainText(value);
  if (relation == "==") return text == wanted;
  if (relation == "!=") return text != wanted;
  if (relation == "~") return std::regex_search(text, std::regex(wanted));
  if (!value.is_number()) return false;
  const double number = value.get<double>();
  const double limit = std::stod(wanted);
  if (relation == "<=") return number <= limit;
  if (relation == ">=") return number >= limit;
  if (relation == "<") return number < limit;
  if (relation == ">") return number > limit;
  throw StepFailure("'" + relation +
                    "' is not a relation; use == != ~ < <= > >=");
}

const std::string& WordAt(const Words& words, size_t index) {
  if (index >= words.size()) {
    throw StepFailure("word " + std::to_string(index + 1) + " is missing");
  }
  return words[index];
}

std::string OptionValue(const Words& words, const std::string& name,
                        const std::string& fallback) {
  for (size_t i = 0; i + 1 < words.size(); ++i) {
    if (words[i] == name) return words[i + 1];
  }
  return fallback;
}

Words Substitute(Words words,
                 const std::map<std::string, std::string>& variables) {
  for (std::string& word : words) {
    for (const auto& [name, value] : variables) {
      const std::string placeholder = "$" + name;
      for (size_t position = word.find(placeholder);
           position != std::string::npos;
           position = word.find(placeholder, position + value.size())) {
        word.replace(position, placeholder.size(), value);
      }
    }
  }
  return words;
}

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw StepFailure("cannot read " + path.string());
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string NormalizeTranscript(std::string transcript) {
  static const std::vector<std::pair<std::regex, std::string>> kReplacements = {
      {std::regex("gg1-[0-9.:]+-[0-9-]+"), "KEY"},
      {std::regex("edit [0-9a-f]{10}-[0-9a-f]{16}"), "edit ID"},
      {std::regex("\"edit\":\"[0-9a-f-]+\""), "\"edit\":\"ID\""},
      {std::regex("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z"), "TIME"},
      {std::regex("revision(\"?[: ]+)[0-9]+"), "revision$1N"},
      {std::regex("(/[A-Za-z0-9_.-]+)+/(document|section|base).yaml"),
       "$2.yaml"},
  };
  for (const auto& [pattern, replacement] : kReplacements) {
    transcript = std::regex_replace(transcript, pattern, replacement);
  }
  return transcript;
}

std::string MakeGarbage(Random* random) {
  static const std::string kValidRequest =
      "PUT /drawings/1 HTTP/1.1\r\nHost: shop.example\r\n"
      "Content-Length: 40\r\nTransfer-Encoding: "
      "chunked\r\n\r\n5\r\nabcde\r\n";
  std::string bytes = kValidRequest;
  if (random->NextBelow(2) == 0) {
    for (char& c : bytes) c = static_cast<char>(random->Next());
  }
  const uint64_t edit_count = random->NextBelow(6);
  for (uint64_t edit = 0; edit < edit_count; ++edit) {
    bytes[random->NextBelow(bytes.size())] = static_cast<char>(random->Next());
  }
  bytes.resize(1 + random->NextBelow(bytes.size()));
  return bytes;
}

void PrintLastLines(const std::filesystem::path& path) {
  std::ifstream log(path);
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(log, line)) lines.push_back(line);
  std::cout << "--- " << path.stem().string() << " (last lines)\n";
  constexpr size_t kMaxLines = 15;
  const size_t first = lines.size() > kMaxLines ? lines.size() - kMaxLines : 0;
  for (size_t i = first; i < lines.size(); ++i) {
    std::cout << lines[i].substr(0, 500) << "\n";
  }
}

}  // namespace greengage::scenario
