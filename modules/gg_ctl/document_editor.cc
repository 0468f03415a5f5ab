#include "gg_ctl/document_editor.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_document/document_parser.h"
#include "gg_document/section_text.h"

namespace greengage {
namespace {

using nlohmann::json;

std::string EntryToJson(const AuditEntry& entry) {
  return json{{"edit", entry.edit_id},    {"who", entry.who},
              {"section", entry.section}, {"reason", entry.reason},
              {"time", entry.time},       {"old", entry.old_text},
              {"new", entry.new_text}}
      .dump();
}

AuditEntry EntryFromStore(const StoreEntry& stored) {
  AuditEntry entry{.revision = stored.mod_revision};
  const json parsed = json::parse(stored.value, nullptr, false);
  if (!parsed.is_object()) return entry;
  entry.edit_id = parsed.value("edit", "");
  entry.who = parsed.value("who", "");
  entry.section = parsed.value("section", "");
  entry.reason = parsed.value("reason", "");
  entry.time = parsed.value("time", "");
  entry.old_text = parsed.value("old", "");
  entry.new_text = parsed.value("new", "");
  return entry;
}

std::string SectionOf(const std::string& document, const std::string& name) {
  const std::vector<SectionText> sections = SplitSections(document);
  const SectionText* section = FindSection(sections, name);
  if (section == nullptr) return "";
  return section->text;
}

absl::Status ChangedBySomebody(const SectionEdit& edit,
                               const std::string& expected,
                               const std::string& found) {
  return StepError(
      absl::StatusCode::kAborted, Step::kStoreCall, edit.section,
      absl::StrCat("the section was changed meanwhile; yours was not applied. "
                   "What changed:\n",
                   LineDiff(expected, found),
                   "Put your edit on top of it and apply again"));
}

absl::Status Unresolved(const AuditEntry& entry, const absl::Status& cause) {
  return StepError(
      absl::StatusCode::kUnknown, Step::kStoreCall, entry.section,
      absl::StrCat("no answer from the store; whether the edit was accepted is "
                   "not known. Look for edit ",
                   entry.edit_id, " with 'greengagectl audit': ",
                   std::string(cause.message())));
}

}  // namespace

absl::StatusOr<StoredDocument> DocumentEditor::Read() const {
  const absl::StatusOr<StoreReadResult> read =
      options_.store.get(DocumentKey());
  if (!read.ok()) return read.status();
  if (read->entries.empty()) return StoredDocument{};
  return StoredDocument{read->entries[0].value, read->entries[0].mod_revision};
}

absl::StatusOr<AuditEntry> DocumentEditor::Create(
    const std::string& text, const std::string& who) const {
  const absl::StatusOr<DocumentPtr> parsed = ParseDocument(text);
  if (!parsed.ok()) return parsed.status();
  if ((*parsed)->deployment != options_.deployment) {
    return StepError(
        absl::StatusCode::kInvalidArgument, Step::kDocumentCheck, "platform",
        absl::StrCat("the document is of deployment '", (*parsed)->deployment,
                     "'; name it with "
                     "--deployment"));
  }
  AuditEntry entry{.edit_id = options_.new_edit_id(),
                   .who = who,
                   .section = "*",
                   .reason = "first document",
                   .time = options_.time_now(),
                   .new_text = text};
  absl::StatusOr<AuditEntry> written = Write({}, text, entry);
  if (written.status().code() == absl::StatusCode::kAborted) {
    return StepError(absl::StatusCode::kAlreadyExists, Step::kStoreCall,
                     "document", "there is a document already; use apply");
  }
  return written;
}

absl::StatusOr<AuditEntry> DocumentEditor::Apply(
    const SectionEdit& edit) const {
  std::optional<std::string> expected = edit.base;
  AuditEntry entry{.edit_id = options_.new_edit_id(),
                   .who = edit.who,
                   .section = edit.section,
                   .reason = edit.reason,
                   .time = options_.time_now()};
  for (int tries = 0; tries < options_.max_tries; ++tries) {
    const absl::StatusOr<StoredDocument> current = Read();
    if (!current.ok()) return current.status();
    entry.old_text = SectionOf(current->text, edit.section);
    if (!expected) expected = entry.old_text;
    if (entry.old_text != *expected) {
      return ChangedBySomebody(edit, *expected, entry.old_text);
    }
    const absl::StatusOr<std::string> text =
        ReplaceSection(current->text, edit.section, edit.text);
    if (!text.ok()) return text.status();
    const absl::StatusOr<DocumentPtr> parsed = ParseDocument(*text);
    if (!parsed.ok()) return parsed.status();
    entry.new_text = SectionOf(*text, edit.section);
    absl::StatusOr<AuditEntry> written = Write(*current, *text, entry);
    const bool lost_race =
        written.status().code() == absl::StatusCode::kAborted;
    if (!lost_race) return written;
  }
  return StepError(absl::StatusCode::kUnavailable, Step::kStoreCall,
                   edit.section, "too many other edits; try again");
}

absl::StatusOr<std::vector<AuditEntry>> DocumentEditor::Audit() const {
  const absl::StatusOr<StoreReadResult> read =
      options_.store.get_prefix(AuditPrefix());
  if (!read.ok()) return read.status();
  std::vector<AuditEntry> trail;
  for (const StoreEntry& stored : read->entries) {
    trail.push_back(EntryFromStore(stored));
  }
  std::sort(trail.begin(), trail.end(), [](const auto& a, const auto& b) {
    return a.revision < b.revision;
  });
  return trail;
}

absl::StatusOr<AuditEntry> DocumentEditor::Write(const StoredDocument& base,
                                                 const std::string& text,
                                                 AuditEntry entry) const {
  const std::string audit_key = AuditPrefix() + entry.edit_id;
  StoreCompareAndSwap swap{.key = DocumentKey(),
                           .expected_revision = base.revision};
  swap.puts.push_back({.key = swap.key, .value = text});
  swap.puts.push_back({.key = audit_key, .value = EntryToJson(entry)});
  absl::Status cause;
  for (int tries = 0; tries < options_.max_tries; ++tries) {
    const absl::StatusOr<StoreCompareAndSwapResult> result =
        options_.store.swap(swap);
    if (result.ok() && result->succeeded) {
      entry.revision = result->revision;
      return entry;
    }
    // An earlier try of this very edit may be what stands there now.
    const absl::StatusOr<StoreReadResult> own = options_.store.get(audit_key);
    if (own.ok() && !own->entries.empty()) {
      entry.revision = own->entries[0].mod_revision;
      return entry;
    }
    if (result.ok() && own.ok()) {
      return absl::AbortedError("the document has changed");
    }
    const bool was_never_sent =
        tries == 0 && result.status().code() == absl::StatusCode::kUnavailable;
    if (was_never_sent) return result.status();
    cause = result.ok() ? own.status() : result.status();
  }
  return Unresolved(entry, cause);
}

std::string DocumentEditor::DocumentKey() const {
  return absl::StrCat("/greengage/", options_.deployment, "/shared/document");
}

std::string DocumentEditor::AuditPrefix() const {
  return absl::StrCat("/greengage/", options_.deployment, "/audit/");
}

}  // namespace greengage
