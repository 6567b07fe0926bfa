#include "drill/scene.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <list>

#include "front/front.hpp"

extern char** environ;

namespace dunlinwick::drill {
namespace {

// ---- staged

class StagedPlayer final : public Player {
 public:
  explicit StagedPlayer(stage::Process& p) : process(p) {}
  loop::Loop& loop() override {
    return process.loop();
  }
  void act(const std::function<void()>& what) override {
    process.Execute(what);
  }
  void StandStill(Ms until) override {
    process.PauseUntil(until);
  }
  stage::Process& process;
};

class StagedFront final : public Served {
 public:
  StagedFront(stage::Network& net, stage::Process& p, const std::string& text,
              std::unique_ptr<Break> broken)
      : net_(net), process_(p) {
    front::FrontConfiguration configuration = front::ParseConfiguration(text, p.Name(), "");
    exchange::RequestRouter module =
        exchange::MakeRequestRouter(configuration.settings, configuration.seed);
    if (broken) {
      std::shared_ptr<Break> shared = std::move(broken);
      module = [shared, inner = shared->around(std::move(module), configuration.settings)](
                   Ms now, const Event& e) {
        return inner(now, e);
      };
      if (shared->Sends())
        p.outgoing_filter = [shared](std::string bytes) {
          return shared->Sent(std::move(bytes));
        };
    }
    p.Execute([&] {
      front_ = std::make_unique<front::Front>(p.loop(), configuration, std::move(module));
    });
  }
  ~StagedFront() override {
    net_.Kill(process_);
  }  // the front goes after its process: it says nothing more
  void Stop() override {
    process_.Execute([this] { front_->Stop(); });
  }
  bool Ended() override {
    return process_.loop().IsStopped();
  }

 private:
  stage::Network& net_;
  stage::Process& process_;
  std::unique_ptr<front::Front> front_;
};

class Staged final : public Scene {
 public:
  Staged(std::uint64_t seed, std::ostream* logs) : net_(seed) {
    if (logs)
      net_.SetLogHandler([this, logs](const stage::Process& p, std::string_view line) {
        *logs << static_cast<long long>(net_.now() - 1.7e12) << " " << p.Name() << ": " << line
              << "\n";
      });
  }
  Ms now() override {
    return net_.now();
  }
  void at(Ms when, std::function<void()> what) override {
    net_.ScheduleCall(when, std::move(what));
  }
  void RunUntil(Ms time) override {
    net_.RunUntil(time);
  }
  loop::Address address(std::uint32_t host, std::uint16_t port) override {
    return stage::MakeAddress(host | 10u << 24, port);
  }
  Player& Start(std::uint32_t host, const std::string& name) override {
    return players_.emplace_back(net_.Start(host | 10u << 24, name));
  }
  void Kill(Player& player) override {
    end(player, true);
  }
  void Vanish(Player& player) override {
    end(player, false);
  }
  std::unique_ptr<Served> Serve(std::uint32_t host, const std::string& name,
                                const std::string& text, std::size_t descriptors,
                                std::unique_ptr<Break> broken) override {
    return std::make_unique<StagedFront>(net_, net_.Start(host | 10u << 24, name, descriptors),
                                         text, std::move(broken));
  }
  stage::Network* net() override {
    return &net_;
  }

 private:
  void end(Player& player, bool tell) {
    auto at =
        std::find_if(players_.begin(), players_.end(), [&](auto& one) { return &one == &player; });
    if (tell)
      net_.Kill(at->process);
    else
      net_.KillSilently(at->process);
    players_.erase(at);
  }
  stage::Network net_;
  std::list<StagedPlayer> players_;
};

// ---- on sockets: the world in this process, on one loop; each front a process of its own

class SocketPlayer final : public Player {
 public:
  explicit SocketPlayer(loop::Loop& l) : loop_(l) {}
  loop::Loop& loop() override {
    return loop_;
  }
  void act(const std::function<void()>& what) override {
    what();
  }
  void StandStill(Ms) override {
  }  // the model stands still; its connections answer calls all the same

 private:
  loop::Loop& loop_;
};

class Child final : public Served {
 public:
  Child(const std::string& program, const std::string& folder, const std::string& name,
        const std::string& text) {
    std::string file = folder + "/" + name + ".json", log = folder + "/" + name + ".log";
    std::ofstream(file) << text;
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0644);
    std::string words[] = {program, "serve", "--config", file};
    char* args[] = {words[0].data(), words[1].data(), words[2].data(), words[3].data(), nullptr};
    int fault = ::posix_spawn(&pid_, program.c_str(), &actions, nullptr, args, environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (fault != 0)
      throw std::runtime_error(program + " cannot be started; name it with --program");
  }
  ~Child() override {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  void Stop() override {
    if (pid_ > 0)
      ::kill(pid_, SIGTERM);
  }
  bool Ended() override {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
      pid_ = 0;
    return pid_ == 0;
  }

 private:
  pid_t pid_ = 0;
};

class Sockets final : public Scene {
 public:
  Sockets(std::string program, std::string folder)
      : program_(std::move(program)), folder_(std::move(folder)) {
    if (::access(program_.c_str(), X_OK) != 0)
      throw std::runtime_error(program_ + " is no program; name the front's with --program");
    ::signal(SIGPIPE, SIG_IGN);
  }
  Ms now() override {
    return loop_.now();
  }
  void at(Ms when, std::function<void()> what) override {
    loop_.RunAt(when, std::move(what));
  }
  void RunUntil(Ms time) override {
    while (loop_.now() < time)
      loop_.RunOnce(std::min(50.0, time - loop_.now()));
  }
  // A network of loopback's for each process that plays, so that two may play at once.
  loop::Address address(std::uint32_t host, std::uint16_t port) override {
    std::uint32_t own = 64 + static_cast<std::uint32_t>(::getpid()) % 128;
    return stage::MakeAddress(127u << 24 | (own ^ (host >> 16 & 0xff)) << 16 | (host & 0xffff),
                              port);
  }
  Player& Start(std::uint32_t, const std::string&) override {
    return players_.emplace_back(loop_);
  }
  void Kill(Player& player) override {
    players_.remove_if([&](auto& one) { return &one == &player; });
  }
  void Vanish(Player& player) override {
    Kill(player);
  }
  std::unique_ptr<Served> Serve(std::uint32_t, const std::string& name, const std::string& text,
                                std::size_t, std::unique_ptr<Break> broken) override {
    if (broken)
      throw std::runtime_error("a broken front plays on the stage only");
    return std::make_unique<Child>(program_, folder_, name, text);
  }
  stage::Network* net() override {
    return nullptr;
  }

 private:
  std::string program_;
  std::string folder_;
  loop::Loop loop_;
  std::list<SocketPlayer> players_;
};

}  // namespace

std::unique_ptr<Scene> MakeStaged(std::uint64_t seed, std::ostream* logs) {
  return std::make_unique<Staged>(seed, logs);
}

std::unique_ptr<Scene> OnSockets(const std::string& program, const std::string& folder) {
  return std::make_unique<Sockets>(program, folder);
}

std::string NotOnSockets(const Script& script) {
  for (const Trouble& t : script.troubles)
    for (What what :
         {What::kVanish, What::kCut, What::kOneWay, What::kLag, What::kLoss, What::kApart})
      if (t.what == what)
        return ToString(what);
  return "";
}

}  // namespace dunlinwick::drill
