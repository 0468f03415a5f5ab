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

std::string EncodeAuditEntry(const AuditEntry& entry) {
  return json{{"edit", entry.edit_id},    {"who", entry.who},
              {"section", entry.section}, {"reason", entry.reason},
              {"time", entry.time},       {"old", entry.old_text},
              {"new", entry.new_text}}
      .dump();
}

AuditEntry DecodeAuditEntry(const StoreEntry& stored) {
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

std::string SectionTextOrEmpty(const std::string& document,
                               const std::string& name) {
  const std::vector<SectionText> sections = SplitSections(document);
  const SectionText* section = FindSection(sections, name);
  if (section == nullptr) return "";
  return section->text;
}

absl::Status ConflictError(const SectionEdit& edit, const std::string& expected,
                           const std::string& found) {
  return StepError(
      absl::StatusCode::kAborted, Step::kStoreCall, edit.section,
      absl::StrCat(
          "another edit changed the section; your edit was not applied. "
          "What changed:\n",
          LineDiff(expected, found),
          "Make your edit in the new text and apply it again"));
}

absl::Status UnknownOutcomeError(const AuditEntry& entry,
                                 const absl::Status& cause) {
  return StepError(
      absl::StatusCode::kUnknown, Step::kStoreCall, entry.section,
      absl::StrCat("no response from the store; the edit may or may not have "
                   "been accepted. Look for edit ",
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
    return StepError(absl::StatusCode::kInvalidArgument, Step::kDocumentCheck,
                     "platform",
                     absl::StrCat("the document belongs to deployment '",
                                  (*parsed)->deployment,
                                  "'; pass that name with --deployment"));
  }
  AuditEntry entry{.edit_id = options_.generate_edit_id(),
                   .who = who,
                   .section = "*",
                   .reason = "first document",
                   .time = options_.current_time(),
                   .new_text = text};
  absl::StatusOr<AuditEntry> written = WriteWithAuditEntry({}, text, entry);
  if (written.status().code() == absl::StatusCode::kAborted) {
    return StepError(absl::StatusCode::kAlreadyExists, Step::kStoreCall,
                     "document", "a document already exists; use apply");
  }
  return written;
}

absl::StatusOr<AuditEntry> DocumentEditor::Apply(
    const SectionEdit& edit) const {
  std::optional<std::string> expected = edit.base;
  AuditEntry entry{.edit_id = options_.generate_edit_id(),
                   .who = edit.who,
                   .section = edit.section,
                   .reason = edit.reason,
                   .time = options_.current_time()};
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    const absl::StatusOr<StoredDocument> current = Read();
    if (!current.ok()) return current.status();
    entry.old_text = SectionTextOrEmpty(current->text, edit.section);
    if (!expected) expected = entry.old_text;
    if (entry.old_text != *expected) {
      return ConflictError(edit, *expected, entry.old_text);
    }
    const absl::StatusOr<std::string> text =
        ReplaceSection(current->text, edit.section, edit.text);
    if (!text.ok()) return text.status();
    const absl::StatusOr<DocumentPtr> parsed = ParseDocument(*text);
    if (!parsed.ok()) return parsed.status();
    entry.new_text = SectionTextOrEmpty(*text, edit.section);
    absl::StatusOr<AuditEntry> written =
        WriteWithAuditEntry(*current, *text, entry);
    const bool has_conflict =
        written.status().code() == absl::StatusCode::kAborted;
    if (!has_conflict) return written;
  }
  return StepError(absl::StatusCode::kUnavailable, Step::kStoreCall,
                   edit.section, "too many concurrent edits; try again");
}

absl::StatusOr<std::vector<AuditEntry>> DocumentEditor::ReadAuditTrail() const {
  const absl::StatusOr<StoreReadResult> read =
      options_.store.get_prefix(AuditPrefix());
  if (!read.ok()) return read.status();
  std::vector<AuditEntry> entries;
  for (const StoreEntry& stored : read->entries) {
    entries.push_back(DecodeAuditEntry(stored));
  }
  std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
    return a.revision < b.revision;
  });
  return entries;
}

absl::StatusOr<AuditEntry> DocumentEditor::WriteWithAuditEntry(
    const StoredDocument& base, const std::string& text,
    AuditEntry entry) const {
  const std::string audit_key = AuditPrefix() + entry.edit_id;
  StoreCompareAndSwap swap{.key = DocumentKey(),
                           .expected_revision = base.revision};
  swap.puts.push_back({.key = swap.key, .value = text});
  swap.puts.push_back({.key = audit_key, .value = EncodeAuditEntry(entry)});
  absl::Status cause;
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    const absl::StatusOr<StoreCompareAndSwapResult> result =
        options_.store.swap(swap);
    if (result.ok() && result->succeeded) {
      entry.revision = result->revision;
      return entry;
    }
    // An earlier attempt whose response was lost may have written this edit.
    const absl::StatusOr<StoreReadResult> own_entry =
        options_.store.get(audit_key);
    if (own_entry.ok() && !own_entry->entries.empty()) {
      entry.revision = own_entry->entries[0].mod_revision;
      return entry;
    }
    if (result.ok() && own_entry.ok()) {
      return absl::AbortedError("the document has changed");
    }
    const bool was_not_sent =
        attempt == 0 &&
        result.status().code() == absl::StatusCode::kUnavailable;
    if (was_not_sent) return result.status();
    cause = result.ok() ? own_entry.status() : result.status();
  }
  return UnknownOutcomeError(entry, cause);
}

std::string DocumentEditor::DocumentKey() const {
  return absl::StrCat("/greengage/", options_.deployment, "/shared/document");
}

std::string DocumentEditor::AuditPrefix() const {
  return absl::StrCat("/greengage/", options_.deployment, "/audit/");
}

}  // namespace greengage
