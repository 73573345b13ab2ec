/// \file
/// Implements the database group on real sockets.

#include "Servers.h"

#include "Transport/SocketOptions.h"

#include <algorithm>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace corianderdyke::soak {

namespace {

constexpr Millis Work(2);
constexpr Millis PromotionTime(150);
constexpr Millis LatePromotion(1500);
constexpr Millis HeartbeatInterval(250);
constexpr Millis HeartbeatTimeout(400);
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int Backlog = 64;

std::uint64_t nextNumber() {
  static std::uint64_t Last = 0;
  return ++Last;
}

} // namespace

struct Server::Connection : std::enable_shared_from_this<Connection> {
  Server *Owner = nullptr;
  bufferevent *Buffer = nullptr;
  bool IsOpen = false;
  bool IsMuted = false; ///< All further answers are lost.
  char State = 'I';
  bool IsPlain = false;
  std::uint64_t Transaction = 0;
  std::vector<std::string> Written;
  std::string Tenant;
  std::map<std::string, std::string> Prepared;

  ~Connection() { bufferevent_free(Buffer); }

  void read() {
    evbuffer *In = bufferevent_get_input(Buffer);
    std::size_t Length = 0;
    while (char *Raw = evbuffer_readln(In, &Length, EVBUFFER_EOL_CRLF)) {
      const std::string Line(Raw, Length);
      std::free(Raw);
      if (!take(Line))
        return;
    }
  }

  void write(const std::string &Text) {
    if (!IsMuted)
      bufferevent_write(Buffer, Text.data(), Text.size());
  }

  std::string ready() const {
    return std::string("READY ") + State + " " + std::to_string(Owner->Term) +
           "." + std::to_string(Owner->Log.size()) + "\r\n";
  }

  /// Handles one line; returns false if it closed the connection.
  bool take(const std::string &Line) {
    std::istringstream In(Line);
    std::string Word;
    In >> Word;
    if (Word == "STARTUP") {
      std::string Wanted;
      std::string Who;
      std::string Expected;
      In >> Wanted >> Who >> Expected;
      std::string Refusal;
      if (Wanted != Owner->Group || Expected != Owner->Id)
        Refusal = "MISROUTED";
      else if (std::count_if(Owner->Connections.begin(),
                             Owner->Connections.end(),
                             [](const auto &Each) { return Each->IsOpen; }) >=
               static_cast<std::ptrdiff_t>(Owner->MaxConnections))
        Refusal = "CONNLIMIT";
      if (!Refusal.empty()) {
        write("ERROR " + Refusal + " " + Owner->Id + "\r\n");
        close();
        return false;
      }
      IsOpen = true;
      write(ready());
      return true;
    }
    std::string Id;
    In >> Id;
    std::string Text;
    std::getline(In >> std::ws, Text);
    std::string Result = run(Id, Text);
    if (Id != "-" && Owner->LosesAnswers && std::rand() % 4 == 0)
      IsMuted = true;
    write(Result + ready());
    return true;
  }

  std::string refuse(const std::string &Code) {
    if (State == 'T')
      State = 'E';
    return "ERROR " + Code + " " + Owner->Id + "\r\n";
  }

  bool lacks(std::string &Text) const {
    if (Text.rfind("AFTER ", 0) != 0)
      return false;
    std::istringstream In(Text.substr(6));
    LogPosition Wanted;
    char Dot = 0;
    In >> Wanted.Term >> Dot >> Wanted.Number;
    std::getline(In >> std::ws, Text);
    return LogPosition{Owner->Term, Owner->Log.size()} < Wanted;
  }

  std::string run(const std::string &Id, std::string Text) {
    std::string Done = "COMPLETE -\r\n";
    if (lacks(Text))
      return refuse("LAGGING");
    std::istringstream In(Text);
    std::string Word;
    In >> Word;
    std::string Name;
    if (Word == "STATUS" || Word == "STEPDOWN" || Word == "PAUSE" ||
        Word == "RESUME") {
      if (Word == "STEPDOWN")
        Owner->IsPrimary = false;
      return std::string("ROW ") + (Owner->IsPrimary ? "primary" : "replica") +
             " " + std::to_string(Owner->Term) + " " +
             std::to_string(Owner->Term) + "." +
             std::to_string(Owner->Log.size()) + " 0 0 0 1\r\n" + Done;
    }
    if (Word == "RESET") {
      Tenant.clear();
      Prepared.clear();
      return Done;
    }
    if (Word == "SET") {
      In >> Name >> Tenant;
      return Done;
    }
    if (Word == "PREPARE") {
      In >> Name;
      std::getline(In >> std::ws, Prepared[Name]);
      return Done;
    }
    if (Word == "BEGIN") {
      In >> Name;
      if (Name.empty() && !Owner->IsPrimary)
        return refuse("READONLY");
      State = 'T';
      IsPlain = Name.empty();
      Transaction = nextNumber();
      return Done;
    }
    if (Word == "ROLLBACK") {
      State = 'I';
      Written.clear();
      Transaction = 0;
      return Done;
    }
    return runCallers(Id, Text);
  }

  std::string runCallers(const std::string &Id, const std::string &Text) {
    if (State == 'E')
      return refuse("MALFORMED");
    std::string ExpandedText = Text;
    if (Text.rfind("EXECUTE ", 0) == 0) {
      std::istringstream In(Text.substr(8));
      std::string Name;
      std::string Arguments;
      In >> Name;
      std::getline(In >> std::ws, Arguments);
      if (Prepared.count(Name) == 0)
        return refuse("NOSTMT");
      ExpandedText = "EXECUTE " + Prepared[Name] + " " + Arguments;
    }
    const bool IsCommit = Text == "COMMIT";
    const bool IsWrite = ExpandedText.find("STORE") != std::string::npos;
    const bool NeedsLead =
        IsWrite || (State == 'T' && IsPlain && !(IsCommit && Written.empty()));
    if (NeedsLead && !Owner->IsPrimary)
      return refuse("READONLY");
    Execution Made;
    Made.Server = Owner->Id;
    Made.Text = ExpandedText;
    Made.Tenant = Tenant;
    Made.Transaction = Transaction;
    Made.Signature = "proof-" + std::to_string(nextNumber());
    if (!IsWrite && !IsCommit)
      Made.Rows = "row-" + std::to_string(nextNumber());
    std::string Answer =
        (Made.Rows.empty() ? "" : "ROW " + Made.Rows + "\r\n") + "COMPLETE " +
        Made.Signature + "\r\n";
    if (IsWrite)
      Written.push_back(Id);
    Owner->Checks.recordExecution(Id, std::move(Made), Owner->LoggedWrites);
    if (IsCommit)
      State = 'I';
    if (State == 'I' && !Written.empty()) {
      const auto Writes = std::exchange(Written, {});
      Owner->append(Writes);
      Owner->Checks.recordCommit(Owner->Id, Writes);
      Owner->OnCommit(Writes);
    }
    if (IsCommit)
      Transaction = 0;
    return Answer;
  }

  void close() {
    IsOpen = false;
    IsMuted = true;
    const auto Held = shared_from_this();
    // Pending output is sent first.
    Owner->Loop.after(Millis(5),
                      [Held] { Held->Owner->Connections.erase(Held); });
  }
};

Server::Server(EventLoop &Loop, Ledger &Checks, std::string Group,
               std::string Name, const Endpoint &Own, const Endpoint &Shown)
    : Link(Loop, Shown, Own), Loop(Loop), Checks(Checks),
      Group(std::move(Group)), Name(std::move(Name)), Own(Own) {}

Server::~Server() { crash(); }

void Server::start(bool Leads) {
  Id = Name + "-" + std::to_string(++Starts);
  IsUp = true;
  IsPrimary = Leads;
  const sockaddr_in Address = socketAddress(Own);
  Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Self) { static_cast<Server *>(Self)->accepted(Socket); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      Backlog, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  if (Listener == nullptr)
    throw std::runtime_error("cannot listen on " + Own.text());
}

void Server::crash() {
  if (!std::exchange(IsUp, false))
    return;
  Connections.clear();
  evconnlistener_free(std::exchange(Listener, nullptr));
}

void Server::accepted(int Socket) {
  auto Made = std::make_shared<Connection>();
  Made->Owner = this;
  Made->Buffer =
      bufferevent_socket_new(Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      Made->Buffer,
      [](bufferevent *, void *Raw) {
        const auto Held = static_cast<Connection *>(Raw)->shared_from_this();
        // Execution takes some time.
        Held->Owner->Loop.after(Work, [Held] {
          if (Held->Owner->Connections.count(Held) != 0)
            Held->read();
        });
      },
      nullptr,
      [](bufferevent *, short, void *Raw) {
        const auto Held = static_cast<Connection *>(Raw)->shared_from_this();
        Held->Owner->Loop.defer(
            [Held] { Held->Owner->Connections.erase(Held); });
      },
      Made.get());
  bufferevent_enable(Made->Buffer, EV_READ | EV_WRITE);
  Connections.insert(std::move(Made));
}

void Server::copy(const Server &From) {
  Log = From.Log;
  LoggedWrites = From.LoggedWrites;
  Term = From.Term;
}

void Server::append(const std::vector<std::string> &Writes) {
  Log.push_back(Writes);
  LoggedWrites.insert(Writes.begin(), Writes.end());
}

Group::Group(EventLoop &Loop, Ledger &Checks, std::string Name,
             const std::string &Network, std::vector<Endpoint> Controls,
             std::size_t MaxConnections)
    : Loop(Loop), Checks(Checks), Name(std::move(Name)),
      Controls(std::move(Controls)), Connector(Loop) {
  constexpr std::uint16_t OwnPort = 6000;
  constexpr std::uint16_t ShownPort = 6001;
  for (int Each = 0; Each < 3; ++Each) {
    const std::string Address = Network + ".3." + std::to_string(Each + 1);
    Servers.push_back(std::make_unique<Server>(
        Loop, Checks, this->Name, "server" + std::to_string(Each),
        Endpoint{Address, OwnPort}, Endpoint{Address, ShownPort}));
    Server &Made = *Servers.back();
    Made.MaxConnections = MaxConnections;
    Made.OnCommit = [this, &Made](const std::vector<std::string> &Writes) {
      replicate(Made, Writes);
    };
    Made.start(Each == 0);
  }
}

Server *Group::primary() {
  for (auto &Each : Servers)
    if (Each->IsUp && Each->IsPrimary)
      return Each.get();
  return nullptr;
}

void Group::replicate(const Server &From,
                      const std::vector<std::string> &Writes) {
  const std::uint64_t Term = From.Term;
  const std::size_t At = From.Log.size();
  for (auto &Each : Servers) {
    if (Each.get() == &From)
      continue;
    Loop.after(Lag, [To = Each.get(), Writes, Term, At] {
      // Applied only in order and only from the primary of its own term.
      if (To->IsUp && !To->IsPrimary && To->Term == Term &&
          To->Log.size() + 1 == At)
        To->append(Writes);
    });
  }
}

void Group::promote(const std::string &Id, std::uint64_t Token) {
  if (Token < LastToken)
    return;
  const auto Chosen =
      std::find_if(Servers.begin(), Servers.end(), [&](const auto &Each) {
        return Each->IsUp && Each->Id == Id;
      });
  if (Chosen == Servers.end() || (*Chosen)->IsPrimary)
    return;
  Server &New = **Chosen;
  std::vector<std::string> Lost;
  for (auto &Each : Servers)
    for (const auto &Writes : Each->Log)
      for (const std::string &Write : Writes)
        if (New.LoggedWrites.count(Write) == 0)
          Lost.push_back(Write);
  Checks.recordRollback(Lost);
  ++Promoted;
  New.Term = ++HighestTerm;
  for (auto &Each : Servers) {
    Each->IsPrimary = Each.get() == &New;
    if (Each.get() != &New)
      Each->copy(New);
  }
  for (auto &Each : Servers)
    sendHeartbeat(*Each);
}

void Group::handle(const HttpRequest &Request,
                   std::shared_ptr<HttpExchange> Exchange) {
  const std::uint64_t Token =
      std::strtoull(Request.header("Fencing-Token").c_str(), nullptr, 10);
  const auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  const std::string Id = Body.value("id", "");
  const bool IsRunning =
      std::any_of(Servers.begin(), Servers.end(), [&](const auto &Each) {
        return Each->IsUp && Each->Id == Id;
      });
  if (Token < LastToken || !IsRunning)
    return Exchange->respond({StatusConflict, {}, ""});
  LastToken = Token;
  Loop.after(LosesPromotions ? LatePromotion : PromotionTime,
             [this, Id, Token] { promote(Id, Token); });
  if (!LosesPromotions)
    Exchange->respond({StatusOk, {}, ""});
}

void Group::sendHeartbeat(Server &Of) {
  if (!Of.IsUp)
    return;
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = "/-/Instances.Heartbeat/" + Of.Id;
  Request.Headers = {{"Content-Type", "application/json"}};
  Request.Body =
      nlohmann::json{{"service", Name},
                     {"address", Of.Link.at().text()},
                     {"zone", "here"},
                     {"version", "v1"},
                     {"capacity", 2},
                     {"state", "ready"},
                     {"cold_remaining_ms", 0},
                     {"db_role", Of.IsPrimary ? "primary" : "replica"},
                     {"sequence", ++Of.Sequence}}
          .dump();
  // Sent to every control host; the leader applies it.
  for (const Endpoint &To : Controls) {
    std::shared_ptr<HttpConnection> Call = Connector.connect(To);
    Call->request(Request, HeartbeatTimeout,
                  [this, Call](const Expected<HttpResponse> &) {
                    Loop.defer([Call] {});
                  });
  }
}

void Group::restart(Server &Which) {
  if (Which.IsUp)
    return;
  Which.start(Which.IsPrimary && Which.Term == HighestTerm);
  catchUp();
}

// Copies the log of the primary to replicas that missed commits while down.
void Group::catchUp() {
  const Server *Leader = primary();
  if (Leader == nullptr || Lag > Millis(100))
    return;
  for (auto &Each : Servers)
    if (Each->IsUp && !Each->IsPrimary &&
        (Each->Term != Leader->Term ||
         Each->Log.size() + 20 < Leader->Log.size()))
      Each->copy(*Leader);
}

void Group::startHeartbeats() {
  catchUp();
  for (auto &Each : Servers)
    sendHeartbeat(*Each);
  Loop.after(HeartbeatInterval, [this] { startHeartbeats(); });
}

} // namespace corianderdyke::soak
