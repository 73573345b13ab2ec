/// \file
/// Implements the simulated target for the platform's line protocol.

#include "LineTarget.h"

#include "Common/Identity.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sstream>

namespace corianderdyke {

struct LineTarget::Connection {
  LineTarget *Owner = nullptr;
  bufferevent *Buffer = nullptr;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::string Out; ///< Output that is not written yet.
  char State = 'I';
  bool HasWritten = false;

  ~Connection() {
    *Alive = false;
    bufferevent_free(Buffer);
  }

  void read() {
    evbuffer *In = bufferevent_get_input(Buffer);
    std::size_t Length = 0;
    while (char *Raw = evbuffer_readln(In, &Length, EVBUFFER_EOL_CRLF)) {
      const std::string Line(Raw, Length);
      std::free(Raw);
      Out += Owner->answer(*this, Line);
    }
    flush();
  }

  void flush() {
    if (Out.empty())
      return;
    const std::string Piece = Out.substr(0, Owner->PieceBytes);
    Out.erase(0, Piece.size());
    bufferevent_write(Buffer, Piece.data(), Piece.size());
    Owner->Loop.after(Millis(0), [this, Still = Alive] {
      if (*Still)
        flush();
    });
  }
};

LineTarget::LineTarget(EventLoop &Loop, std::string Group, std::string Id,
                       bool IsPrimary)
    : IsPrimary(IsPrimary), Loop(Loop), Group(std::move(Group)),
      Id(std::move(Id)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Self) { static_cast<LineTarget *>(Self)->accepted(Socket); },
      this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr *>(&Address),
      sizeof(Address));
  socklen_t Size = sizeof(Address);
  getsockname(evconnlistener_get_fd(Listener),
              reinterpret_cast<sockaddr *>(&Address), &Size);
  At = {"127.0.0.1", ntohs(Address.sin_port)};
}

LineTarget::~LineTarget() {
  Connections.clear();
  evconnlistener_free(Listener);
}

void LineTarget::accepted(int Socket) {
  auto Made = std::make_unique<Connection>();
  Made->Owner = this;
  Made->Buffer =
      bufferevent_socket_new(Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      Made->Buffer,
      [](bufferevent *, void *Each) {
        static_cast<Connection *>(Each)->read();
      },
      nullptr, [](bufferevent *, short, void *) {}, Made.get());
  bufferevent_enable(Made->Buffer, EV_READ | EV_WRITE);
  Connections.insert(std::move(Made));
}

std::string LineTarget::answer(Connection &To, const std::string &Line) {
  Received.push_back(Line);
  std::istringstream In(Line);
  std::string Word;
  In >> Word;
  const auto Ready = [&] {
    return std::string("READY ") + To.State + " " + std::to_string(Log.Term) +
           "." + std::to_string(Log.Number) + "\r\n";
  };
  if (Word == "STARTUP") {
    std::string Wanted;
    std::string Caller;
    std::string Expected;
    In >> Wanted >> Caller >> Expected;
    if (Wanted != Group || (!Expected.empty() && Expected != Id))
      return "ERROR MISROUTED " + Id + "\r\n";
    return Ready();
  }
  std::string Name;
  In >> Name;
  std::string Text;
  std::getline(In >> std::ws, Text);
  const std::string Result = run(To, Text);
  return Result + Ready();
}

std::string LineTarget::run(Connection &To, std::string Text) {
  const std::string Done = "COMPLETE -\r\n";
  std::string NotLeading = "ERROR READONLY " + Id + "\r\n";
  if (Text.rfind("AFTER ", 0) == 0) {
    std::istringstream In(Text.substr(6));
    LogPosition Wanted;
    char Dot = 0;
    In >> Wanted.Term >> Dot >> Wanted.Number;
    std::getline(In >> std::ws, Text);
    if (Log < Wanted)
      return "ERROR LAGGING " + Id + "\r\n";
  }
  if (Text == "STATUS" || Text.rfind("STEPDOWN", 0) == 0) {
    if (Text != "STATUS")
      IsPrimary = false;
    return std::string("ROW ") + (IsPrimary ? "primary" : "replica") + " " +
           std::to_string(Log.Term) + " " + std::to_string(Log.Term) + "." +
           std::to_string(Log.Number) + " 0 0 0 1\r\n" + Done;
  }
  if (Text == "BEGIN" && !IsPrimary)
    return NotLeading;
  if (Text.rfind("BEGIN", 0) == 0)
    To.State = 'T';
  if (Text.rfind("STORE", 0) == 0) {
    if (!IsPrimary)
      return NotLeading;
    To.HasWritten = true;
  }
  if (Text == "ROLLBACK")
    To.HasWritten = false;
  if (Text == "COMMIT" || Text == "ROLLBACK")
    To.State = 'I';
  if (To.State == 'I' && std::exchange(To.HasWritten, false))
    ++Log.Number;
  if (Text.rfind("FETCH", 0) == 0)
    return "ROW value of " + Text.substr(6) + "\r\nCOMPLETE proof\r\n";
  const bool IsCallers = Text.rfind("STORE", 0) == 0 || Text == "COMMIT";
  return IsCallers ? "COMPLETE proof\r\n" : Done;
}

} // namespace corianderdyke
