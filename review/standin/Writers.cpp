/// \file
/// Clients that send single writes and reads.

#include "Writers.h"

namespace review {

void Writers::start(std::size_t Count, std::size_t ProxyCount) {
  for (std::size_t Each = 0; Each < Count; ++Each)
    for (const bool IsWriter : {true, false})
      Clients.emplace_back([this, Each, ProxyCount, IsWriter] {
        run(System.frontend(Each % ProxyCount),
            (IsWriter ? "w" : "r") + std::to_string(Each), IsWriter);
      });
}

void Writers::stop() {
  IsOver = true;
  for (std::thread &Each : Clients)
    Each.join();
}

// After a failure the client opens a new session and goes on with its next
// statement.
void Writers::run(const Endpoint &Proxy, const std::string &Name,
                  bool IsWriter) {
  constexpr std::int64_t Pause = 20;
  std::uint64_t Count = 0;
  while (!IsOver) {
    Client Own(Name + "." + std::to_string(Count), Log);
    if (!Own.open(Proxy, "handover"))
      sleepMs(Pause);
    while (!IsOver && Own.isOpen()) {
      ++Count;
      const Answer Got =
          Own.query(IsWriter ? "STORE " + Name + " v" + std::to_string(Count)
                             : "FETCH " + Name);
      sleepMs(Pause);
      if (!Got.isDone()) {
        Own.close();
        continue;
      }
      if (!IsWriter)
        continue;
      const std::lock_guard<std::mutex> Guard(Lock);
      Done.insert(Got.Id);
    }
  }
}

std::size_t Writers::acknowledged() {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Done.size();
}

std::size_t Writers::countMissing(Database &Servers, std::size_t Which) {
  const std::lock_guard<std::mutex> Guard(Lock);
  std::size_t Missing = 0;
  for (const std::string &Each : Done)
    if (!Servers.holds(Which, Each)) {
      Log.write("check", "acknowledged write " + Each +
                             " is not in the log of " + Servers.idOf(Which));
      ++Missing;
    }
  Log.write("check", Servers.idOf(Which) + " was promoted and lacks " +
                         std::to_string(Missing) + " of " +
                         std::to_string(Done.size()) + " acknowledged writes");
  return Missing;
}

} // namespace review
