#include <gtest/gtest.h>

#include "shallotproxy/demand/turn_forecast.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto PeakHosts = 40.0;
constexpr auto TurnTime = 5'000ms;
constexpr auto StepTime = 200ms;

/// Four pools whose work comes by turns, next to nothing in between.
class Turns
{
public:
    /// Lets the pool at this place have its turn; none if there is no such pool.
    auto play(std::size_t peakPool, std::chrono::milliseconds duration) -> void
    {
        for (auto time = 0ms; time < duration; time += StepTime) {
            m_now += StepTime;
            for (std::size_t n = 0; n < m_work.size(); ++n) {
                const auto hosts = n == peakPool ? PeakHosts : PeakHosts / 80;
                m_work[n] += hosts * std::chrono::duration<double>(StepTime).count();
                forecast.observe(pool(n), hosts, m_work[n], m_now);
            }
        }
    }
    auto playRound() -> void
    {
        for (std::size_t n = 0; n < m_work.size(); ++n)
            play(n, TurnTime);
    }
    static auto pool(std::size_t number) -> PoolName { return PoolName(std::to_string(number)); }
    [[nodiscard]] auto timeUntilTurn(std::size_t number) const -> double
    {
        const auto turn = forecast.nextTurn(pool(number));
        return turn ? std::chrono::duration<double>(turn->begin - m_now).count() : -1;
    }

    TurnForecast forecast;

private:
    BootTime m_now{1h};
    std::vector<double> m_work = std::vector<double>(4);
};

} // namespace

TEST(TurnForecast, ForeseesTheNextRoundOfTurns)
{
    auto turns = Turns();
    turns.play(4, 4s);
    turns.play(0, TurnTime);
    turns.play(1, TurnTime);
    turns.play(2, TurnTime);
    EXPECT_FALSE(turns.forecast.nextTurn(Turns::pool(0))); // the fourth pool may be the next one
    turns.play(3, TurnTime);
    for (std::size_t n = 0; n < 4; ++n) {
        const auto expected = std::chrono::duration<double>(TurnTime * n).count();
        EXPECT_NEAR(turns.timeUntilTurn(n), expected, 0.5);
        EXPECT_NEAR(turns.forecast.nextTurn(Turns::pool(n))->hosts, PeakHosts, 2);
    }
    turns.playRound();
    EXPECT_NEAR(turns.timeUntilTurn(0), 0, 0.5);
}

TEST(TurnForecast, ForgetsTurnsThatDontComeAndLearnsThemAnew)
{
    auto turns = Turns();
    turns.playRound();
    turns.playRound();
    ASSERT_TRUE(turns.forecast.nextTurn(Turns::pool(0)));
    turns.play(4, TurnForecast::Tolerance + TurnForecast::MinTurnTime + 2 * StepTime);
    EXPECT_FALSE(turns.forecast.nextTurn(Turns::pool(0)));
    turns.playRound();
    turns.playRound();
    EXPECT_NEAR(turns.timeUntilTurn(0), 0, 0.5);
}

TEST(TurnForecast, ForgetsTheOrderWhenAnotherPoolHasItsTurn)
{
    auto turns = Turns();
    turns.play(4, 4s);
    turns.playRound();
    ASSERT_TRUE(turns.forecast.nextTurn(Turns::pool(0)));
    turns.play(2, TurnTime);
    EXPECT_FALSE(turns.forecast.nextTurn(Turns::pool(0)));
}

TEST(TurnForecast, ForeseesNothingFromPeaksWithoutARhythm)
{
    auto turns = Turns();
    for (auto n = 0; n < 40; ++n) {
        turns.play(static_cast<std::size_t>(n % 4), TurnTime + (n % 3) * 2s);
        EXPECT_FALSE(turns.forecast.nextTurn(Turns::pool(0))) << n;
    }
}

// Hosts leave at once when a turn is over, but not again if the demand was soon back.
TEST(TurnForecast, RestsAfterATurnUnlessTheLastOneFollowedSoon)
{
    auto turns = Turns();
    turns.play(4, 4s);
    turns.play(0, TurnTime);
    turns.play(4, 2s);
    EXPECT_FALSE(turns.forecast.isAtRest(Turns::pool(0))); // no other pool had a turn
    turns.play(1, TurnTime);
    turns.play(4, 2s);
    EXPECT_TRUE(turns.forecast.isAtRest(Turns::pool(0)));
    EXPECT_TRUE(turns.forecast.isAtRest(Turns::pool(1)));
    turns.play(1, TurnTime);
    EXPECT_NEAR(turns.forecast.hostsOfTurn(Turns::pool(1)).value_or(0), PeakHosts, 2);
    turns.play(4, 2s);
    EXPECT_FALSE(turns.forecast.isAtRest(Turns::pool(1)));
}

TEST(TurnForecast, TakesNoBurstForATurn)
{
    auto turns = Turns();
    for (std::size_t n = 0; n < 8; ++n) {
        turns.play(n % 4, 600ms);
        turns.play(4, 4'400ms);
    }
    EXPECT_FALSE(turns.forecast.nextTurn(Turns::pool(0)));
}

} // namespace shallotproxy
