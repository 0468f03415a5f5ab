#include <map>

#include "gg_ctl/gg_ctl.h"
#include "gg_document/gg_document.h"
#include "unit/sample_document.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

/** In-memory store that can lose responses, be unreachable, or run another edit
    just before a swap. */
struct FakeStore {
  std::map<std::string, StoreEntry> entries;
  uint64_t revision = 1;
  int responses_to_lose = 0;
  bool is_unreachable = false;
  std::function<void()> before_swap;

  absl::StatusOr<StoreReadResult> Get(const std::string& key) {
    StoreReadResult read{.store_revision = revision};
    const auto found = entries.find(key);
    if (found != entries.end()) read.entries.push_back(found->second);
    return read;
  }

  absl::StatusOr<StoreReadResult> GetPrefix(const std::string& prefix) {
    StoreReadResult read{.store_revision = revision};
    for (const auto& [key, entry] : entries) {
      if (key.rfind(prefix, 0) == 0) read.entries.push_back(entry);
    }
    return read;
  }

  absl::StatusOr<StoreCompareAndSwapResult> Swap(
      const StoreCompareAndSwap& swap) {
    if (is_unreachable) return absl::UnavailableError("store unreachable");
    if (before_swap) std::exchange(before_swap, nullptr)();
    const auto found = entries.find(swap.key);
    const uint64_t current =
        found == entries.end() ? 0 : found->second.mod_revision;
    StoreCompareAndSwapResult result;
    if (current == swap.expected_revision) {
      result.succeeded = true;
      result.revision = ++revision;
      for (const StorePut& put : swap.puts) {
        entries[put.key] = {put.key, put.value, revision};
      }
    }
    if (responses_to_lose > 0) {
      --responses_to_lose;
      return absl::UnknownError("response lost");
    }
    return result;
  }

  EditorStore MakeEditorStore() {
    return {[this](const std::string& key) { return Get(key); },
            [this](const std::string& prefix) { return GetPrefix(prefix); },
            [this](const StoreCompareAndSwap& swap) { return Swap(swap); }};
  }
};

TEST_GROUP(DocumentEditor) {
  FakeStore store;
  int edits = 0;
  DocumentEditor editor{
      {.deployment = "sample",
       .store = store.MakeEditorStore(),
       .generate_edit_id = [this] { return "e" + std::to_string(++edits); },
       .current_time = [] { return std::string("now"); }}};

  void setup() override {
    CHECK_TRUE(editor.Create(SampleDocument(), "ops").ok());
  }

  std::string Section(const std::string& name) {
    const auto sections = SplitSections(editor.Read()->text);
    return FindSection(sections, name)->text;
  }

  SectionEdit MakeEdit(const std::string& from, const std::string& to,
                       const std::string& section = "shop") {
    std::string text = Section(section);
    text.replace(text.find(from), from.size(), to);
    return {.section = section, .text = text, .who = "me", .reason = "why"};
  }
};

TEST(DocumentEditor, SecondCreateIsRefused) {
  const auto again = editor.Create(SampleDocument(), "ops");
  CHECK_TRUE(again.status().code() == absl::StatusCode::kAlreadyExists);
}

TEST(DocumentEditor, ConcurrentEditOfAnotherSectionIsKept) {
  const SectionEdit mine = MakeEdit("cap: 0.2", "cap: 0.1");
  const SectionEdit theirs = MakeEdit("slices: 24", "slices: 48", "platform");
  store.before_swap = [&] { CHECK_TRUE(editor.Apply(theirs).ok()); };
  CHECK_TRUE(editor.Apply(mine).ok());
  CHECK_TRUE(Contains(Section("shop"), "cap: 0.1"));
  CHECK_TRUE(Contains(Section("platform"), "slices: 48"));
}

TEST(DocumentEditor, ConcurrentEditOfSameSectionIsReportedAndKept) {
  const SectionEdit mine = MakeEdit("cap: 0.2", "cap: 0.1");
  const SectionEdit theirs = MakeEdit("cap: 0.2", "cap: 0.3");
  store.before_swap = [&] { CHECK_TRUE(editor.Apply(theirs).ok()); };
  const auto result = editor.Apply(mine);
  CHECK_TRUE(result.status().code() == absl::StatusCode::kAborted);
  CHECK_TRUE(Contains(MessageOf(result.status()), "cap: 0.3"));
  CHECK_TRUE(Contains(Section("shop"), "cap: 0.3"));
}

TEST(DocumentEditor, LostResponseIsResolvedByEditId) {
  store.responses_to_lose = 1;
  const auto result = editor.Apply(MakeEdit("cap: 0.2", "cap: 0.1"));
  CHECK_TRUE_TEXT(result.ok(), MessageOf(result.status()).c_str());
  LONGS_EQUAL(store.revision, result->revision);
  LONGS_EQUAL(2, editor.ReadAuditTrail()->size());
}

TEST(DocumentEditor, LostResponseThenOtherEditIsReportedAsAccepted) {
  const SectionEdit theirs = MakeEdit("slices: 24", "slices: 48", "platform");
  store.responses_to_lose = 1;
  const auto result = editor.Apply(MakeEdit("cap: 0.2", "cap: 0.1"));
  CHECK_TRUE(result.ok());
  CHECK_TRUE(editor.Apply(theirs).ok());
  LONGS_EQUAL(3, editor.ReadAuditTrail()->size());
}

TEST(DocumentEditor, UnreachableStoreReturnsUnavailable) {
  store.is_unreachable = true;
  const auto result = editor.Apply(MakeEdit("cap: 0.2", "cap: 0.1"));
  CHECK_TRUE(result.status().code() == absl::StatusCode::kUnavailable);
}

TEST(DocumentEditor, InvalidEditLeavesDocumentUnchanged) {
  const auto result = editor.Apply(MakeEdit("cap: 0.2", "cap: -1"));
  CHECK_TRUE(result.status().code() == absl::StatusCode::kInvalidArgument);
  CHECK_TRUE(Contains(Section("shop"), "cap: 0.2"));
}

TEST(DocumentEditor, AuditEntryRecordsAuthorReasonAndTexts) {
  CHECK_TRUE(editor.Apply(MakeEdit("cap: 0.2", "cap: 0.1")).ok());
  const auto trail = editor.ReadAuditTrail();
  STRCMP_EQUAL("me", trail->back().who.c_str());
  STRCMP_EQUAL("why", trail->back().reason.c_str());
  CHECK_TRUE(Contains(trail->back().old_text, "cap: 0.2"));
  CHECK_TRUE(Contains(trail->back().new_text, "cap: 0.1"));
}

TEST_GROUP(TargetEdit){};

TEST(TargetEdit, FlowStyleTargetIsMarkedAndUnmarked) {
  const std::string text =
      "shop:\n  targets:\n    - {name: a, slots: 1}  # first\n    - {name: "
      "b}\n";
  const auto marked = SetTargetLeaving(text, "shop", "b", true);
  CHECK_TRUE(marked.ok());
  CHECK_TRUE(Contains(*marked, "{leaving: true, name: b}"));
  CHECK_TRUE(Contains(*marked, "{name: a, slots: 1}  # first"));
  const auto back = SetTargetLeaving(*marked, "shop", "b", false);
  CHECK_TRUE(Contains(*back, "{leaving: false, name: b}"));
}

TEST(TargetEdit, BlockStyleTargetIsMarked) {
  const std::string text = "shop:\n  targets:\n    - name: a\n      slots: 1\n";
  const auto marked = SetTargetLeaving(text, "shop", "a", true);
  STRCMP_EQUAL(
      "shop:\n  targets:\n    - leaving: true\n      name: a\n      slots: 1\n",
      marked->c_str());
}

TEST(TargetEdit, UnknownTargetIsNotFound) {
  const auto marked =
      SetTargetLeaving("shop:\n  targets: []\n", "shop", "a", true);
  CHECK_TRUE(marked.status().code() == absl::StatusCode::kNotFound);
}

}  // namespace
}  // namespace greengage
