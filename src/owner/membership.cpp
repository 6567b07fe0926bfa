#include "owner/membership.hpp"

#include <exception>
#include <utility>

namespace dunlinwick::owner {

Membership::Membership(Node& node, OpenStore open_store, LogLine log_line)
    : node_(node), open_store_(std::move(open_store)), log_line_(std::move(log_line)) {}

Membership::~Membership() {
  node_.Leave(0);
}

void Membership::Tick(Ms now) {
  Group* group = node_.group();
  if (group && group->member_state() == Group::MemberState::kFailed)
    Close(now, group->FailureReason());
  if (!store_ && retry_.IsDue(now))
    Open(now);
}

void Membership::Open(Ms now) {
  try {
    store_ = open_store_();
    node_.Join(*store_, now);
  } catch (const std::exception& error) {
    return Close(now, error.what());
  }
  if (node_.group()->member_state() == Group::MemberState::kFailed)
    return Close(now, node_.group()->FailureReason());
  if (std::exchange(failure_logged_, false))
    log_line_("owner store used again");
}

void Membership::Close(Ms now, const std::string& reason) {
  // The group holds a reference to the store, and an LMDB environment must not be opened twice in
  // one process.
  node_.Leave(now);
  store_.reset();
  retry_.RecordFailure(now);
  if (!std::exchange(failure_logged_, true))
    log_line_("owner store not used, tried again: " + reason);
}

}  // namespace dunlinwick::owner
