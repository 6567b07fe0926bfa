// What a client wants, and the connection to a front that asks for it; for the files of the clients
// only.
#pragma once
#include "drill/cast.hpp"

namespace dunlinwick::drill {

// What a client wants, with all its tries.
struct Clients::Want {
  int request_class = 0;
  int part = 0;
  int tries = 0;
  std::string thing;
  Ms first_at = 0;
  Ms ttl = 0;
  bool hurried = false;  // the one try that crossed a close was sent again
};

// One connection to a front, one request at a time.
class Clients::Line final : public loop::Connection::Owner,
                            public std::enable_shared_from_this<Line> {
 public:
  Line(Clients& all, std::uint64_t number, int front)
      : all_(all),
        number_(number),
        front_(front),
        used_at_(all.loop_.now()),
        connection_(all.loop_, *this, all.fronts_[static_cast<std::size_t>(front)].at, 1000) {
    connection_.SetReadLimit(1 << 18);
  }
  ~Line() {
    all_.loop_.Cancel(timer_);
  }
  bool IdleFor(int front) const {
    return front_ == front && !want_ && !connection_.IsEnded() && up_;
  }
  bool IdleSince(Ms when) const {
    return !want_ && used_at_ < when;
  }
  bool Busy() const {
    return want_ != nullptr;
  }

  void Ask(std::shared_ptr<Want> want);

  void OnDrained() override;
  void OnBytesReceived() override;
  void OnDisconnected(loop::DisconnectReason how) override;
  void Shut();

 private:
  void Written();
  void GiveUp();
  void tell(rules::ObservationKind deed, int status = 0, const std::string& tag = {},
            bool whole = false);

  bool ReadOne();

  bool Proper(const std::string& tag, std::string_view body, const Want& want) const;

  Clients& all_;
  std::uint64_t number_;
  int front_;
  bool up_ = false;
  bool asked_ = false;
  bool answered_ = false;
  bool heard_ = false;
  bool reused_ = false;
  Ms used_at_;
  Ms sent_at_ = 0;
  std::uint64_t timer_ = 0;
  std::string id_;
  std::shared_ptr<Want> want_;
  loop::Connection connection_;
};

}  // namespace dunlinwick::drill
