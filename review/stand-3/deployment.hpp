#pragma once

#include "fleet.hpp"

namespace stand3 {

/// The tenant and the queue of all cases, as the operator declares them.
struct Configuration
{
    int version = 7;
    std::int64_t tenantMilliCores = 0; // its `cap`; 0: no limit
};

auto encode(const Configuration &configuration) -> std::string;

/// Whether the case brings about its disruption; not with TROUBLE=0.
auto isTroubled() -> bool;

/// A small deployment on the stand-ins: some members, one service and its executors.
class Deployment
{
public:
    struct Settings
    {
        std::string record;
        std::string folder;
        int executors = 6;
        int members = 3;
    };

    explicit Deployment(const Settings &settings);

    auto declare(const Configuration &configuration) -> void;
    /// Hands a job in at one member after the other until it is accepted.
    auto submit(const std::string &job, const std::string &steps) -> void;
    /// Asks for the state of a job twice a second from now on.
    auto follow(const std::string &job) -> void;
    [[nodiscard]] auto isAccepted(const std::string &job) const -> bool;
    /// The last state that a client was told of; empty before.
    [[nodiscard]] auto state(const std::string &job) const -> std::string;

    Loop loop;
    Record record;

private:
    int m_port;

public:
    Store store;
    std::vector<std::unique_ptr<Executor>> executors;
    std::unique_ptr<Cloud> cloud;
    std::unique_ptr<Members> members;

private:
    auto attempt(const std::string &job, const std::string &body, std::size_t member) -> void;
    auto ask(const std::string &job, std::size_t member) -> void;

    std::set<std::string> m_accepted;
    std::map<std::string, std::string> m_states;
};

/// Returns the settings that `run.sh` passes: RECORD FOLDER. Ends the process with 2 if there are
/// others.
auto settingsOf(int argc, char **argv) -> Deployment::Settings;

} // namespace stand3
