/// \file
/// A client's session at a proxy.

#ifndef CORIANDERDYKE_REVIEW_STANDIN2_CLIENT_H
#define CORIANDERDYKE_REVIEW_STANDIN2_CLIENT_H

#include "Wire.h"

#include <memory>
#include <string>
#include <vector>

namespace review2 {

struct Answer {
  bool IsWhole = false; ///< READY arrived.
  bool IsSuccess = false;
  char State = 'E';
  std::string Code; ///< Of an ERROR.
  std::string Digest;
};

class Client {
public:
  /// Opens a session; READY has to arrive within 2 s.
  bool open(const Address &Proxy, const std::string &Database,
            const std::string &Who) {
    Lines = std::make_unique<LineConnection>(connectTo(Proxy));
    std::string Line;
    if (!Lines->socket().isOpen() ||
        !Lines->write("STARTUP " + Database + " " + Who + "\r\n") ||
        Lines->next(Line, SteadyClock::now() + Ms(2000)) !=
            Socket::Outcome::Data ||
        Line.rfind("READY", 0) != 0) {
      close();
      return false;
    }
    return true;
  }

  bool isOpen() const { return Lines != nullptr; }
  void close() { Lines.reset(); }

  /// Sends one statement and waits for its answer.
  Answer query(const std::string &Id, const std::string &Text, Ms Timeout) {
    Answer Out;
    if (!Lines || !Lines->write("QUERY " + Id + " " + Text + "\r\n")) {
      close();
      return Out;
    }
    const Moment Until = SteadyClock::now() + Timeout;
    std::string Line;
    while (Lines->next(Line, Until) == Socket::Outcome::Data) {
      const std::string Kind = takeWord(Line);
      if (Kind == "COMPLETE") {
        Out.IsSuccess = true;
        Out.Digest = Line;
      } else if (Kind == "ERROR") {
        Out.Code = takeWord(Line);
      } else if (Kind == "READY") {
        Out.IsWhole = true;
        Out.State = Line.empty() ? 'E' : Line[0];
        return Out;
      }
    }
    close();
    Out.IsSuccess = false;
    return Out;
  }

private:
  std::unique_ptr<LineConnection> Lines;
};

} // namespace review2

#endif
