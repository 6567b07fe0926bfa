/// A node's membership of the group on a store that may fail. A store that can't be opened, or a
/// write that fails, ends the membership: this member votes and acknowledges no more, and the
/// others go on without it as long as they are a majority. Its store is opened anew, by backoff,
/// until it can be; the member comes back with what is on the disk, as after a restart of the
/// process. The node's agent goes on meanwhile by the other members' answers: what it holds it
/// holds as long as a majority keeps its renewals, and gives up before the lease's end otherwise.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "backoff/backoff.hpp"
#include "owner/node.hpp"

namespace dunlinwick::owner {

class Membership {
 public:
  /// Opens the store; throws std::runtime_error where it can't.
  using OpenStore = std::function<std::unique_ptr<Store>()>;
  using LogLine = std::function<void(const std::string& line)>;
  /// `node` outlives this; it is made without a store, and no one else lets it join or leave.
  Membership(Node& node, OpenStore open_store, LogLine log_line);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// After each Node::tick, and once before the first.
  void Tick(Ms now);
  /// Whether the store is open and has not failed.
  bool HasStore() const {
    return store_ != nullptr;
  }
  /// Whether what is written outlives the process; false without a store.
  bool IsDurable() const {
    return store_ && store_->IsDurable();
  }

 private:
  void Open(Ms now);
  void Close(Ms now, const std::string& reason);

  Node& node_;
  OpenStore open_store_;
  LogLine log_line_;
  std::unique_ptr<Store> store_;
  backoff::Backoff retry_{backoff::kShortestStoreRetry, backoff::kLongestStoreRetry};
  bool failure_logged_ = false;
};

}  // namespace dunlinwick::owner
