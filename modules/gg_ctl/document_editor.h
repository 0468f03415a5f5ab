#ifndef GG_CTL_DOCUMENT_EDITOR_H_
#define GG_CTL_DOCUMENT_EDITOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "gg_store/store_types.h"

namespace greengage {

/** Document as stored, with its revision. */
struct StoredDocument {
  std::string text;
  uint64_t revision = 0;  // 0: there is no document yet
};

/** Edit of one section. */
struct SectionEdit {
  std::string section;
  std::string text;  // whole new text of the section
  std::string who;
  std::string reason;
  /** Text of the section that the edit is based on. The edit is refused when
      the section has changed since. Without a value, the edit is based on the
      text that Apply() reads first. */
  std::optional<std::string> base;
};

/** Accepted edit, as kept in the audit trail. */
struct AuditEntry {
  std::string edit_id;
  std::string who;
  std::string section;
  std::string reason;
  std::string time;  // UTC, ISO 8601
  std::string old_text;
  std::string new_text;
  uint64_t revision = 0;  // of the document
};

/** Store operations that the editor needs. They block. */
struct EditorStore {
  std::function<absl::StatusOr<StoreReadResult>(const std::string& key)> get;
  std::function<absl::StatusOr<StoreReadResult>(const std::string& prefix)>
      get_prefix;
  std::function<absl::StatusOr<StoreCompareAndSwapResult>(
      const StoreCompareAndSwap& swap)>
      swap;
};

/** Edits the document in the store by compare-and-swap, one section at a time.

    Concurrent edits of other sections are kept: the edit is applied again to
    the document that contains them. The document and the audit entry are
    written in one transaction. The key of the audit entry contains the edit's
    identifier, so an edit whose response was lost can be found by reading that
    key. All calls block. */
class DocumentEditor {
 public:
  struct Options {
    std::string deployment;
    EditorStore store;
    std::function<std::string()> generate_edit_id;  // unique identifiers
    std::function<std::string()> current_time;      // UTC, ISO 8601
    int max_attempts = 10;  // also limits the swaps in each attempt
  };

  explicit DocumentEditor(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Reads the document. The revision is 0 when there is none. */
  absl::StatusOr<StoredDocument> Read() const;

  /** Writes the first document.
      @return the audit entry; kInvalidArgument when the document is invalid or
              belongs to another deployment; kAlreadyExists when there is a
              document; kUnavailable and kUnknown as for Apply(). */
  absl::StatusOr<AuditEntry> Create(const std::string& text,
                                    const std::string& who) const;

  /** Replaces one section.
      @return the audit entry; kInvalidArgument when the resulting document
              would be invalid; kAborted when another edit changed the section,
              with the difference; kUnavailable when the store can't be reached
              or every attempt met a concurrent edit; kUnknown when the edit may
              or may not have been accepted, with its identifier. */
  absl::StatusOr<AuditEntry> Apply(const SectionEdit& edit) const;

  /** Returns the audit trail, oldest first. */
  absl::StatusOr<std::vector<AuditEntry>> ReadAuditTrail() const;

 private:
  /** Writes `text` and `entry` in one transaction if the document still has the
      revision of `base`; kAborted otherwise. */
  absl::StatusOr<AuditEntry> WriteWithAuditEntry(const StoredDocument& base,
                                                 const std::string& text,
                                                 AuditEntry entry) const;
  std::string DocumentKey() const;
  std::string AuditPrefix() const;

  Options options_;
};

}  // namespace greengage

#endif  // GG_CTL_DOCUMENT_EDITOR_H_
