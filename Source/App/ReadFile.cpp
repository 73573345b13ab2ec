/// \file
/// Reads settings files, manifests and key files.

#include "App/ReadFile.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace corianderdyke {

Expected<std::string> readFile(const std::string &Path) {
  std::error_code Ignored;
  if (std::filesystem::is_directory(Path, Ignored))
    return fail(ErrorCode::NotFound, Path + ": is a folder");
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return fail(ErrorCode::NotFound, Path + ": " + std::strerror(errno));
  std::ostringstream Out;
  Out << In.rdbuf();
  return std::move(Out).str();
}

} // namespace corianderdyke
