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

/** Document as it stands in the store. */
struct StoredDocument {
  std::string text;
  uint64_t revision = 0;  // 0: there is none yet
};

/** Edit of one section. */
struct SectionEdit {
  std::string section;
  std::string text;  // the section's whole new text
  std::string who;
  std::string reason;
  /** Text that the edit was made from; the edit is refused when the section has
      changed since. Without it the text found at the first read counts. */
  std::optional<std::string> base;
};

/** Accepted edit as it is kept for the audit trail. */
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

/** Blocking calls on the store that the editor needs. */
struct EditorStore {
  std::function<absl::StatusOr<StoreReadResult>(const std::string& key)> get;
  std::function<absl::StatusOr<StoreReadResult>(const std::string& prefix)>
      get_prefix;
  std::function<absl::StatusOr<StoreCompareAndSwapResult>(
      const StoreCompareAndSwap& swap)>
      swap;
};

/** Edits the document by compare-and-swap, one section at a time.

    Edits of other sections that come in between are kept: the edit is made
   again on top of them. The document and the audit entry are written in one
   swap, and the entry's key is the edit's own identity, by which an edit whose
   answer was lost is found again. */
class DocumentEditor {
 public:
  struct Options {
    std::string deployment;
    EditorStore store;
    std::function<std::string()> new_edit_id;
    std::function<std::string()> time_now;
    int max_tries = 10;
  };

  explicit DocumentEditor(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Reads the document; revision 0 when there is none. */
  absl::StatusOr<StoredDocument> Read() const;

  /** Writes the first document. kAlreadyExists when there is one. */
  absl::StatusOr<AuditEntry> Create(const std::string& text,
                                    const std::string& who) const;

  /** Makes an edit. kInvalidArgument when the document would be wrong;
      kAborted when the section was changed by somebody else, with the
      difference; kUnknown when it cannot be told whether the edit was accepted,
      with its identity. */
  absl::StatusOr<AuditEntry> Apply(const SectionEdit& edit) const;

  /** Returns the audit trail, oldest first. */
  absl::StatusOr<std::vector<AuditEntry>> Audit() const;

 private:
  absl::StatusOr<AuditEntry> Write(const StoredDocument& base,
                                   const std::string& text,
                                   AuditEntry entry) const;
  std::string DocumentKey() const;
  std::string AuditPrefix() const;

  Options options_;
};

}  // namespace greengage

#endif  // GG_CTL_DOCUMENT_EDITOR_H_
