// A front's side of ownership: asks the group for works that it may do, does them step by step
// under the lease, records each step, and stops in time. Pure: time and messages in, messages and
// lines for the log out.
//
// A step is sent to all places where the work is carried out; when all have done it (or say that it
// was done before) it is recorded with the group, and only then the next begins. So a new owner
// resumes from what was recorded: the step under way may be sent again, and the fences make that
// one effect. A place that names a higher token ends the ownership at once. Bounds: works as
// configured (mostWorks); one question and one step under way a work.
#pragma once
#include <functional>
#include <random>
#include <set>

#include "owner/fence.hpp"

namespace dunlinwick::owner {

struct Job {
  std::string work;
  std::uint64_t steps = 1;
  Ms each = 50;            // from one step to the next, at least
  std::vector<Id> places;  // who carries it out
  // A work without an end or steps of its own: to hold it is the work (the record's writing, say).
  // Nothing is recorded for it; its token is the fence of whatever its owner does, and the next
  // owner begins by what the fenced ones kept.
  bool standing = false;
};

struct Ask {
  std::uint64_t number = 0;  // of the question, by its asker
  Command command;
};
struct Answer {
  std::uint64_t number = 0;
  Result result;
  Id leader = 0;       // whom to ask instead, where the one asked does not lead
  bool taken = false;  // the one asked leads, and this is the group's answer
};
struct Do {
  std::string work;
  Token token = 0;
  std::uint64_t step = 0;
};
struct Did {
  Do what;
  Landing landing = Landing::kDone;
  Token highest = 0;
};

class Agent {
 public:
  struct Out {
    std::function<void(Id to, const Ask&)> ask;
    std::function<void(Id to, const Do&)> act;
    std::function<void(const std::string& line)> say;
  };
  // What a test breaks on purpose; all false in service.
  struct Breaks {
    bool no_margin = false;       // acts until the lease's very end and beyond, by its own clock
    bool from_the_start = false;  // resumes from before the last recorded step
    bool no_lease = false;        // acts for ever once it was granted
  };
  Agent(Id self, std::vector<Id> group, std::vector<Job> jobs, Terms terms, std::uint64_t seed,
        std::uint64_t incarnation, Ms now);
  void Tick(Ms now, const Out& out);  // every 20 ms or so
  // Whether this front may come to own anything (it may at first). What it holds it keeps till it
  // is lost; a standing work is no longer renewed. For a front that is still coming back from a
  // power loss, or that was set aside.
  void Permit(bool may) {
    permitted_ = may;
  }
  void Answered(Ms now, Id from, const Answer& a, const Out& out);
  void HandleResult(Ms now, Id from, const Did& d, const Out& out);
  Breaks breaks;

  struct Held {
    std::string work;
    Token token = 0;
    std::uint64_t done = 0;
    Ms until = 0;
  };
  std::vector<Held> held() const;
  bool KnowsLeader() const {
    return leader_ != 0;
  }
  bool Idle() const;  // nothing is left to do, as far as it knows

 private:
  struct One {
    Job job;
    Holder holder;
    std::uint64_t done = 0;  // recorded
    std::uint64_t step = 0;  // under way; 0: none
    std::set<Id> landed;     // places that have it
    bool over = false;
    bool recording = false;
    Ms next_step_at = 0;
    Ms sent_at = 0;
    Ms renew_at = 0;
    Ms try_at = 0;
    std::uint64_t question = 0;  // under way; 0: none
    Deed asked = Deed::kTake;
    Ms asked_at = 0;
    Ms ask_again_at = 0;
    Id asking = 0;
    explicit One(Job j, Terms t) : job(std::move(j)), holder(t) {}
  };
  void SendQuestion(Ms now, One& w, Deed deed, std::uint64_t step, const Out& out);
  void Lose(Ms now, One& w, const std::string& why, const Out& out);
  bool MayAct(Ms now, const One& w) const;

  Id self_;
  std::vector<Id> group_;
  Terms terms_;
  std::knuth_b random_;
  std::vector<One> works_;
  Id leader_ = 0;
  std::size_t next_ = 0;
  std::uint64_t numbers_ = 0;
  bool permitted_ = true;
};

}  // namespace dunlinwick::owner
