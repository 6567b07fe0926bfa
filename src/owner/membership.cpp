#include "owner/membership.hpp"

#include <exception>
#include <utility>

namespace dunlinwick::owner {

Membership::Membership(Node& node, OpenStore open_store, Say say)
    : node_(node), open_store_(std::move(open_store)), say_(std::move(say)) {}

Membership::~Membership() {
  node_.Leave(0);
}

void Membership::Tick(Ms now) {
  Group* group = node_.group();
  if (group && group->standing() == Group::Standing::kFailed)
    Close(now, group->Why());
  if (!store_ && retry_.IsDue(now))
    Open(now);
}

void Membership::Open(Ms now) {
  try {
    store_ = open_store_();
    node_.Join(*store_, now);
  } catch (const std::exception& fault) {
    return Close(now, fault.what());
  }
  if (node_.group()->standing() == Group::Standing::kFailed)
    return Close(now, node_.group()->Why());
  if (std::exchange(said_failure_, false))
    say_("owner store used again");
}

void Membership::Close(Ms now, const std::string& reason) {
  // The group refers to the store; and LMDB must not be opened twice in one process.
  node_.Leave(now);
  store_.reset();
  retry_.RecordFailure(now);
  if (!std::exchange(said_failure_, true))
    say_("owner store not used, tried again: " + reason);
}

}  // namespace dunlinwick::owner
