// Follows the notice board and passes its events on, each once and in order.
#pragma once
#include <memory>

#include "board/notices.hpp"

namespace dunlinwick::discovery {

class Discovery final : public loop::Connection::Owner {
 public:
  Discovery(loop::Loop& loop, exchange::Exchange& exchange, const settings::RoadTerms& terms,
            const loop::Address& at);
  ~Discovery();
  // The events of the start; false where they can't be read.
  bool begin(const json::Value& known);
  void Follow();
  // Another address, at once, from the last event passed on. `known`: events up to now, of which
  // the newer ones that follow on without a gap are passed on; the board tells the rest. False,
  // with nothing changed, where they can't be read.
  bool MoveTo(const loop::Address& at, const json::Value& known);
  std::uint64_t Last() const {
    return last_;
  }

 private:
  void OnBytesReceived() override;
  void OnDisconnected(loop::DisconnectReason how) override;
  std::optional<std::vector<Notice>> ReadKnown(const json::Value& known, std::uint64_t& last) const;
  bool TakeLine(std::string_view line);
  void Pass(const Notice& notice, std::optional<Ms> up_to_date_at);
  void Heard();
  void WasSilent();

  loop::Loop& loop_;
  exchange::Exchange& exchange_;
  settings::RoadTerms terms_;
  loop::Address at_;
  std::uint64_t last_ = 0;           // number of the last event that was passed on
  std::optional<Ms> up_to_date_at_;  // when the board last had no later one; none: not begun
  std::uint64_t timer_ = 0;
  loop::Ms pause_ = 0;
  loop::Ms asked_at_ = 0;
  loop::Ms silence_;  // for so long no line need come on this connection
  bool following_ = false;
  std::shared_ptr<loop::Connection> connection_;
};

}  // namespace dunlinwick::discovery
