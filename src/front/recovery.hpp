// Recovery's part of a front: says hello to the others while any of them is not whole, and turns
// what its pure module (src/recovery/) decides into facts for the module that decides on pulls, and
// into lines of the log:
//   recovery store good token 1140... offset 41 incarnation 1764... at 1764629612345
//   recovery phase record by condition: a majority has been heard at ...       ("by time" where its
//   time was over) recovery loss whole back 9 kept 0: nothing was lost at ... recovery spoilt 3:
//   its floors are above what a majority knows at ... recovery lets in 0.10,0.05 certain only at
//   ...
#pragma once
#include <memory>

#include "front/layer_terms.hpp"
#include "front/part.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

class Recovering final : public Part {
 public:
  struct Now {  // what the other parts say, asked each wake
    recovery::GroupNow group;
    recovery::RecordNow record;
    recovery::RulesNow rules;
    bool crowded = false;
  };
  struct Ways {
    std::function<bool(peers::Id to, std::string message)> send;
    std::function<Now()> now;
    std::function<void(std::vector<double> by_request_class, Ms come_back)>
        admit;  // what may not be served while only what is certain is: 0
    std::function<void(peers::Id from, std::uint64_t incarnation)> heard;
    std::function<std::uint64_t(peers::Id of)>
        seen;  // the incarnation that this front's disk has seen of another; 0: none
  };
  Recovering(loop::Loop& loop, const RecoveryTerms& terms, peers::Id self,
             std::vector<peers::Id> fronts, const recovery::StoreSeen& store,
             std::uint64_t incarnation, Ways ways);
  peers::Channel channel() const override {
    return peers::Channel::kRecovery;
  }
  void Heard(peers::Id from, std::span<const char> message) override;
  void Wake() override;
  Ms WakeAt() const override;
  std::string view() const override;
  bool MayOwn() const;
  recovery::Phase phase() const;
  recovery::Floors floors() const;

 private:
  void Does(const std::vector<recovery::Action>& actions);
  loop::Loop& loop_;
  Ways ways_;
  std::unique_ptr<recovery::Recovery> recovery_;
  bool certain_only_ = true;
  Ms said_admit_ = -1e15;
  Ms wake_at_ = 0;
};

}  // namespace dunlinwick::front
