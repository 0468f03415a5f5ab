#ifndef TESTS_UNIT_TEST_SUPPORT_H_
#define TESTS_UNIT_TEST_SUPPORT_H_

// CppUTest's leak detection replaces operator new and reports memory held by
// static tables of the standard library as leaks, so it is disabled.
#define CPPUTEST_MEM_LEAK_DETECTION_DISABLED

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestHarness.h>

#include <string>

#include "absl/status/status.h"

namespace greengage {

/** Returns the message of `status` as a string. */
inline std::string MessageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

/** Returns whether `text` contains `part`. */
inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace greengage

#endif  // TESTS_UNIT_TEST_SUPPORT_H_
