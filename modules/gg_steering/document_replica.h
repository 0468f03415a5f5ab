#ifndef GG_STEERING_DOCUMENT_REPLICA_H_
#define GG_STEERING_DOCUMENT_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gg_document/document.h"
#include "gg_document/section_text.h"
#include "gg_steering/peer_message.h"

namespace greengage {

/** Result of offering a document to a DocumentReplica. */
enum class DocumentOfferResult {
  kAccepted,    // newer and valid; it is in force now
  kStale,       // not newer than the document in force
  kInvalid,     // newer but refused; the document in force stays
  kIncomplete,  // the update does not apply to the local copy; the whole
                // document is needed
};

/** One daemon's copy of the operators' document, kept by section.

    The revision never decreases. The revision of an invalid document is
    remembered, so that the document is parsed and reported only once. Not
    thread-safe. */
class DocumentReplica {
 public:
  //==============================================================================
  /** Offers the whole document as read from the store. */
  DocumentOfferResult OfferText(const std::string& text, uint64_t revision);

  /** Offers an update from a peer. */
  DocumentOfferResult OfferUpdate(const DocumentUpdate& update);

  /** Returns the update from `have_revision` to the local revision. It contains
      every section that may have changed since `have_revision`. */
  DocumentUpdate UpdateSince(uint64_t have_revision) const;

  //==============================================================================
  /** Returns the document in force, or nullptr before the first. */
  const DocumentPtr& document() const { return document_; }

  /** Returns the store revision of the document in force, or 0. */
  uint64_t revision() const { return revision_; }

  /** Returns the text of the document in force. */
  std::string Text() const { return JoinSections(sections_); }

  /** Returns the error of the last offer that was refused. */
  const absl::Status& last_error() const { return last_error_; }

 private:
  DocumentOfferResult Accept(std::vector<SectionText> sections,
                             uint64_t revision);

  std::vector<SectionText> sections_;
  std::map<std::string, uint64_t> changed_at_;  // revision by section
  DocumentPtr document_;
  uint64_t revision_ = 0;
  uint64_t refused_revision_ = 0;  // last invalid one
  absl::Status last_error_;
};

}  // namespace greengage

#endif  // GG_STEERING_DOCUMENT_REPLICA_H_
