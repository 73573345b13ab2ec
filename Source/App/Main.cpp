/// \file
/// The program's entry.

#include "App/CommandLine.h"

int main(int Count, char **Words) {
  return corianderdyke::runCommandLine(Count, Words);
}
