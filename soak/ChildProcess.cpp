#include "soak/ChildProcess.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace oleanderledge::soak {

namespace {

constexpr mode_t kLogMode = 0644;

std::string FirstLineOf(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::string line;
  std::getline(file, line);
  return line;
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aLogPath)
{
  std::vector<std::string> words{ aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failure =
    posix_spawn(&this->id, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  this->hasEnded = failure != 0;
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess()
{
  if (!this->HasEnded()) {
    this->Signal(SIGKILL);
    ::waitpid(this->id, &this->status, 0);
  }
}

void ChildProcess::Signal(int aSignal) const
{
  if (!this->hasEnded) {
    ::kill(this->id, aSignal);
  }
}

std::string ChildProcess::DescribeThreads() const
{
  std::string text;
  std::error_code error;
  const std::string folder = "/proc/" + std::to_string(this->id) + "/task";
  // Threads may end meanwhile, which must not end the soak.
  const std::filesystem::directory_iterator end;
  for (std::filesystem::directory_iterator each(folder, error); !error && each != end;
       each.increment(error)) {
    const std::filesystem::path& task = *each;
    // The state follows the name, which is in parentheses and may contain blanks.
    const std::string stat = FirstLineOf(task / "stat");
    const std::size_t nameEnd = stat.rfind(')');
    const std::string state = nameEnd == std::string::npos ? "?" : stat.substr(nameEnd + 2, 1);
    text += (text.empty() ? "" : ", ") + FirstLineOf(task / "comm") + " " + state + " " +
            FirstLineOf(task / "wchan");
  }
  return text.empty() ? "no threads" : text;
}

bool ChildProcess::HasEnded()
{
  if (!this->hasEnded) {
    this->hasEnded = ::waitpid(this->id, &this->status, WNOHANG) == this->id;
  }
  return this->hasEnded;
}

} // namespace oleanderledge::soak
