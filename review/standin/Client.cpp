/// \file
/// One client session in the users' line protocol.

#include "Client.h"

#include <sstream>

namespace review {

namespace {

constexpr int OpenTimeoutMs = 2000;
/// Longer than the timeouts of all routes.
constexpr int AnswerTimeoutMs = 3000;

} // namespace

bool Client::open(const Endpoint &Proxy, const std::string &Database) {
  Connection = Stream::connect(Proxy, OpenTimeoutMs);
  if (!Connection)
    return false;
  Connection->write("STARTUP " + Database + " u1\r\n");
  const auto Line = Connection->readLine(OpenTimeoutMs);
  if (!Line || Line->rfind("READY", 0) != 0) {
    Log.write(Name, "is not admitted by " + Proxy.text() + ": " +
                        Line.value_or("connection ended"));
    Connection.reset();
    return false;
  }
  return true;
}

void Client::close() {
  if (Connection)
    Connection->end();
  Connection.reset();
}

Answer Client::query(const std::string &Text) {
  Answer Out;
  Out.Id = Name + "-" + std::to_string(Next++);
  Out.SentAt = nowMs();
  Log.write(Name, "sends " + Out.Id + ": " + Text);
  Connection->write("QUERY " + Out.Id + " " + Text + "\r\n");
  while (true) {
    const auto Line = Connection->readLine(AnswerTimeoutMs);
    Out.EndedAt = nowMs();
    if (!Line) {
      Out.HasTimedOut = Connection->hasTimedOut();
      Out.IsCut = !Out.HasTimedOut;
      Log.write(Name, Out.IsCut
                          ? "CONNECTION ENDS without an answer to " + Out.Id
                          : "no answer in time to " + Out.Id);
      Connection.reset();
      return Out;
    }
    std::istringstream In(*Line);
    std::string Word;
    std::string Rest;
    In >> Word >> Rest;
    if (Word == "ROW")
      Out.Rows.push_back(Rest);
    else if (Word == "COMPLETE")
      Out.Digest = Rest;
    else if (Word == "ERROR")
      Out.Code = Rest;
    if (Word != "READY")
      continue;
    Out.State = Rest.front();
    Log.write(Name, "has the answer to " + Out.Id + ": " +
                        (Out.Code.empty() ? "done " + Out.Digest
                                          : "ERROR " + Out.Code));
    return Out;
  }
}

} // namespace review
