/// \file
/// Clients that send single writes and reads, and keep the ids of the writes
/// that were acknowledged.

#ifndef CORIANDERDYKE_REVIEW_WRITERS_H
#define CORIANDERDYKE_REVIEW_WRITERS_H

#include "Client.h"
#include "Database.h"
#include "Fleet.h"

#include <atomic>

namespace review {

class Writers {
public:
  Writers(const Fleet &System, Record &Log) : System(System), Log(Log) {}
  Writers(const Writers &) = delete;
  Writers &operator=(const Writers &) = delete;

  /// Starts \p Count clients that write and as many that read, spread over the
  /// proxies.
  void start(std::size_t Count, std::size_t ProxyCount);
  void stop();
  std::size_t acknowledged();
  /// Returns how many acknowledged writes the log of the server lacks, and
  /// records them.
  std::size_t countMissing(Database &Servers, std::size_t Which);

private:
  void run(const Endpoint &Proxy, const std::string &Name, bool IsWriter);

  const Fleet &System;
  Record &Log;
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Clients;
  std::mutex Lock;
  std::set<std::string> Done;
};

} // namespace review

#endif
