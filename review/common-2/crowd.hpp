// Clients at a steady rate: each request takes a connection that rests, or a new one while fewer than `most` are held.
// A client waits for its time and half a second more, then closes. Connections that rest for 4 s are closed.
#pragma once
#include "rig.hpp"

namespace rig {

struct Job {
  std::string id, text;
  int timeout = 0;
};
// What became of a request.
struct Outcome {
  std::string id;
  int status = 0;  // 0: no whole answer
  Ms sent = 0, took = 0;
  int timeout = 0;
  bool closed = false;  // the connection ended without an answer
};
class Crowd {
 public:
  std::atomic<int> held{0}, most_held{0}, unsent{0};
  std::vector<Outcome> outcomes;

  Crowd(int port, int most) : port_(port) {
    for (int i = 0; i < most; ++i)
      workers_.emplace_back(new Worker);
    for (auto& w : workers_)
      threads_.emplace_back([this, w = w.get()] { Work(*w); });
  }
  // Not sent where all connections that clients may hold have a request open.
  void Ask(Job job) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (idle_.empty()) {
      ++unsent;
      return;
    }
    Worker* w = idle_.back();
    idle_.pop_back();
    w->job = std::move(job);
    w->has_job = true;
    w->wake.notify_one();
  }
  void Finish() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ending_ = true;
      for (auto& w : workers_)
        w->wake.notify_one();
    }
    for (auto& t : threads_)
      t.join();
  }

 private:
  struct Worker {
    std::condition_variable wake;
    bool has_job = false;
    Job job;
    Client client;
  };
  void Work(Worker& w) {
    for (;;) {
      Job job;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        idle_.push_back(&w);
        while (!w.has_job) {
          if (ending_)
            return w.client.Leave();
          if (w.wake.wait_for(lock, std::chrono::seconds(4)) == std::cv_status::timeout && !w.has_job &&
              w.client.fd >= 0)
            Leave(w);
        }
        w.has_job = false;
        job = std::move(w.job);
      }
      Send(w, job);
    }
  }
  void Leave(Worker& w) {
    w.client.Leave();
    --held;
  }
  void Send(Worker& w, const Job& job) {
    Outcome out;
    out.id = job.id;
    out.timeout = job.timeout;
    bool fresh = false;
    for (bool again : {false, true}) {
      fresh = w.client.fd < 0;
      if (fresh) {
        if (!w.client.Open(port_))
          CannotRun("the front takes no connection");
        int now = ++held, most = most_held;
        while (now > most && !most_held.compare_exchange_weak(most, now)) {
        }
      }
      out.sent = Now();
      w.client.Send(job.text);
      Reply r = w.client.Read(out.sent + job.timeout + 550);
      out.took = Now() - out.sent;
      out.closed = r.closed;
      out.status = r.whole ? r.status : 0;
      if (!r.whole || r.Header("Connection") == "close")
        Leave(w);
      // A request that crosses the close of a resting connection is sent again, once.
      if (again || r.whole || !r.closed || fresh || out.took >= 50)
        break;
    }
    Note("client: %s sent at %.0f, waits %d ms: %s after %.0f ms%s", job.id.c_str(), out.sent - kBegan, job.timeout,
         out.status   ? std::to_string(out.status).c_str()
         : out.closed ? "connection ended"
                      : "NO ANSWER",
         out.took, fresh ? " (new connection)" : "");
    std::lock_guard<std::mutex> lock(mutex_);
    outcomes.push_back(out);
  }
  int port_;
  std::mutex mutex_;
  bool ending_ = false;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Worker*> idle_;
  std::vector<std::thread> threads_;
};

}  // namespace rig
