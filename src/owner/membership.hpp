/// A node's membership of the group, on a store that may fail. A store that cannot be opened, or a
/// write that fails, ends the membership: this member neither votes nor acknowledges entries, and
/// the others continue without it as long as they are a majority. Opening the store is retried with
/// backoff; the member then rejoins with the state on the disk, as after a restart of the process.
/// Meanwhile the node's agent relies on the other members' responses: it keeps its leases as long
/// as a majority accepts the renewals, and otherwise gives them up before they expire.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "backoff/backoff.hpp"
#include "owner/node.hpp"

namespace dunlinwick::owner {

class Membership {
 public:
  /// Opens the store; throws std::runtime_error if it cannot.
  using OpenStore = std::function<std::unique_ptr<Store>()>;
  using LogLine = std::function<void(const std::string& line)>;
  /// `node` outlives this object. It is created without a store, and only this object calls its
  /// Join() and Leave().
  Membership(Node& node, OpenStore open_store, LogLine log_line);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Called after each Node::Tick(), and once before the first.
  void Tick(Ms now);
  /// Whether the store is open and has not failed.
  bool HasStore() const {
    return store_ != nullptr;
  }
  /// Whether written data outlives the process; false without a store.
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
  backoff::Backoff retry_{backoff::kInitialStoreRetry, backoff::kMaxStoreRetry};
  bool failure_logged_ = false;
};

}  // namespace dunlinwick::owner
