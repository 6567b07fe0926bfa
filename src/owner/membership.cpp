#include "owner/membership.hpp"

#include <exception>
#include <utility>

namespace dunlinwick::owner {

Membership::Membership(Node& node, OpenStore openStore, Say say)
    : node_(node), openStore_(std::move(openStore)), say_(std::move(say)) {}

Membership::~Membership() { node_.leave(0); }

void Membership::tick(Ms now) {
  Group* group = node_.group();
  if (group && group->standing() == Group::Standing::failed) close(now, group->why());
  if (!store_ && retry_.isDue(now)) open(now);
}

void Membership::open(Ms now) {
  try {
    store_ = openStore_();
    node_.join(*store_, now);
  } catch (const std::exception& fault) {
    return close(now, fault.what());
  }
  if (node_.group()->standing() == Group::Standing::failed) return close(now, node_.group()->why());
  if (std::exchange(saidFailure_, false)) say_("owner store used again");
}

void Membership::close(Ms now, const std::string& reason) {
  // The group refers to the store; and LMDB must not be opened twice in one process.
  node_.leave(now);
  store_.reset();
  retry_.failed(now);
  if (!std::exchange(saidFailure_, true)) say_("owner store not used, tried again: " + reason);
}

}  // namespace dunlinwick::owner
