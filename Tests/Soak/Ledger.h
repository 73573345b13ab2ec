/// \file
/// The truth of a soak: a database group's servers, what ran on them, and what
/// callers were told.

#ifndef CORIANDERDYKE_TESTS_SOAK_LEDGER_H
#define CORIANDERDYKE_TESTS_SOAK_LEDGER_H

#include "Common/Clock.h"
#include "Statements/Statement.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace corianderdyke::soak {

/// A statement as a server ran it.
struct Run {
  std::string Server;
  std::string Text;
  std::string Tenant; ///< The session value at the connection.
  std::string Rows;   ///< The one row of a read.
  std::string Proof;
  std::uint64_t Transaction = 0; ///< 0 outside of any.
  std::string Missed; ///< What a read should have seen; empty where nothing.
};

/// Acknowledged writes that a read must see.
enum class Must : std::uint8_t { Nothing, All, Older, OlderAndOwn };

/// What an id belongs to, as its caller knows.
struct Asked {
  std::string Operation; ///< Statements of one operation share it.
  std::string Text;
  std::string Tenant;
  std::string Session;
  Must See = Must::Nothing; ///< Of a read.
  Millis Began;             ///< The first byte of it or its transaction.
  Millis Age;               ///< That it accepts.
};

class Ledger {
public:
  explicit Ledger(Clock &Time) : Time(Time) {}

  // What servers do.
  void ran(const std::string &Id, Run What,
           const std::unordered_set<std::string> &Log);
  void committed(const std::string &Server,
                 const std::vector<std::string> &Writes);
  /// A promotion dropped what its server hadn't received.
  void rolledBack(const std::vector<std::string> &Writes);

  // What callers do and are told.
  void asked(const std::string &Id, Asked What) { Sent[Id] = std::move(What); }
  void succeeded(const std::string &Id, const std::string &Rows,
                 const std::string &Proof);
  /// The writes were acknowledged to a caller of a session.
  void acknowledged(const std::vector<std::string> &Writes,
                    const std::string &Session);
  /// Nothing of these may ever be kept.
  void promised(const std::vector<std::string> &Ids) {
    Promised.insert(Ids.begin(), Ids.end());
  }

  /// Checks that need the end of the run.
  void finish();
  void breach(const std::string &What);
  const std::vector<std::string> &breaches() const { return Breaches; }
  std::size_t acknowledgedCount() const { return Acknowledged.size(); }

private:
  std::string missedBy(const Asked &Read,
                       const std::unordered_set<std::string> &Log) const;

  struct Acknowledgement {
    std::string Id;
    std::string Session;
    Millis At;
  };

  Clock &Time;
  std::unordered_map<std::string, Asked> Sent;
  std::unordered_map<std::string, std::vector<Run>> Runs;
  /// Operations by the server's transaction that they ran in.
  std::unordered_map<std::uint64_t, std::string> Inside;
  std::unordered_map<std::string, int> Commits; ///< Times that a write took.
  std::unordered_set<std::string> RolledBack;
  std::unordered_set<std::string> Promised;
  std::vector<Acknowledgement> Acknowledged;
  std::vector<std::string> Breaches;
};

} // namespace corianderdyke::soak

#endif
