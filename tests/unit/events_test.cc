#include <fstream>
#include <set>
#include <sstream>

#include "gg_core/event.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

TEST_GROUP(Events){};

TEST(Events, DocumentedEventsMatchEventTable) {
  std::ifstream file(GREENGAGE_SOURCE_DIR "/docs/EVENTS.md");
  std::set<std::string> documented;
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("| E", 0) != 0) continue;
    std::istringstream cells(line);
    std::string bar;
    std::string number;
    std::string name;
    cells >> bar >> number >> bar >> name;
    documented.insert(number + " " + name);
  }
  std::set<std::string> coded;
  for (const EventEntry& entry : EventTable()) {
    coded.insert("E" + std::to_string(static_cast<int>(entry.event)) + " " +
                 std::string(entry.name));
  }
  for (const std::string& entry : coded) {
    CHECK_TEXT(documented.count(entry) == 1, entry.c_str());
  }
  for (const std::string& entry : documented) {
    CHECK_TEXT(coded.count(entry) == 1, entry.c_str());
  }
}

}  // namespace
}  // namespace greengage
