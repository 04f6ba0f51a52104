/*
    Bad input from callers: each case gets a typed error that names field and remedy. Then every
   parser boundary is given mutated input from a seed: nothing may crash, and nothing may pass
   unread.

    [SECTION] Table
    [SECTION] Good input
    [SECTION] Mutations
*/
#include "../src/callerapi.h"

#include <gtest/gtest.h>
#include <random>

#include <foxwing/base/codec.h>
#include <foxwing/control/validation.h>
#include <foxwing/node/message.h>
#include <foxwing/settings/settings.h>

namespace foxwing::node {
namespace {

// [SECTION] Table

struct BadBody
{
    const char *name;
    std::string body;
    bool request;
    const char *expected;
};

class RefusedBody : public testing::TestWithParam<BadBody>
{ };

TEST_P(RefusedBody, NamesFieldAndRemedy)
{
    Error reason;
    EXPECT_FALSE(readSubmission(GetParam().body, GetParam().request, &reason));
    EXPECT_EQ(reason.kind, ErrorKind::BadRequest);
    EXPECT_EQ(reason.outcome, Outcome::NotRun);
    EXPECT_NE(reason.message.find(GetParam().expected), std::string::npos) << reason.message;
}

std::string with(const std::string &field)
{
    return R"({"submission":"x","service":"svc","tasks":["a"],)" + field + "}";
}

INSTANTIATE_TEST_SUITE_P(
        Table, RefusedBody,
        testing::Values(
                BadBody { "Empty", "", false, "can't be read" },
                BadBody { "Broken", "{\"service\":", false, "can't be read" },
                BadBody { "Trailing", R"({"service":"svc"} x)", false, "can't be read" },
                BadBody { "DuplicateKey", R"({"service":"a","service":"b"})", false,
                          "can't be read" },
                BadBody { "Deep", std::string(5000, '['), false, "can't be read" },
                BadBody { "NotAnObject", "[1]", false, "must be a JSON object" },
                BadBody { "NoSubmission", R"({"service":"svc","tasks":["a"]})", false,
                          "\"submission\" must be there" },
                BadBody { "NoService", R"({"submission":"x","tasks":["a"]})", false,
                          "\"service\" must be there" },
                BadBody { "ServiceIsNumber", R"({"submission":"x","service":7,"tasks":["a"]})",
                          false, "\"service\" must be a string" },
                BadBody { "NoTasks", R"({"submission":"x","service":"svc"})", false, "\"tasks\"" },
                BadBody { "EmptyTasks", R"({"submission":"x","service":"svc","tasks":[]})", false,
                          "at least one" },
                BadBody { "TasksIsString", R"({"submission":"x","service":"svc","tasks":"a"})",
                          false, "\"tasks\" must be a list" },
                BadBody { "UnknownField", with(R"("dedline":5)"), false,
                          "\"dedline\" is not known" },
                BadBody { "DeadlineText", with(R"("deadlineMs":"5s")"), false, "\"deadlineMs\"" },
                BadBody { "DeadlineZero", with(R"("deadlineMs":0)"), false, "from 1 to" },
                BadBody { "DeadlineNegative", with(R"("deadlineMs":-5)"), false, "from 1 to" },
                BadBody { "DeadlineHuge", with(R"("deadlineMs":99999999999999999999)"), false,
                          "\"deadlineMs\"" },
                BadBody { "DeclaredFraction", with(R"("declaredMs":1.5)"), false,
                          "\"declaredMs\"" },
                BadBody { "RepeatableText", with(R"("repeatable":"yes")"), false, "true or false" },
                BadBody { "LongClass", with("\"class\":\"" + std::string(65, 'c') + "\""), false,
                          "at most 64" },
                BadBody { "RequestWithTasks", R"({"service":"svc","tasks":["a"],"payload":"a"})",
                          true, "\"tasks\" is not known" },
                BadBody { "RequestWithoutPayload", R"({"service":"svc"})", true,
                          "\"payload\" must be there" }),
        [](const testing::TestParamInfo<BadBody> &given) { return given.param.name; });

// [SECTION] Good input

TEST(CallerApi, TheDigestTellsOtherWorkApart)
{
    Error reason;
    const auto digest = [&](const std::string &body) {
        const auto read = readSubmission(body, false, &reason);
        return read ? read->digest : reason.message;
    };
    const std::string base = digest(R"({"submission":"x","service":"svc","tasks":["a","b"]})");
    EXPECT_EQ(base, digest(R"({"tasks":["a","b"],"service":"svc","submission":"x"})"));
    EXPECT_EQ(base,
              digest(R"({"submission":"x","service":"svc","tasks":["a","b"],"deadlineMs":7})"))
            << "another deadline is the same work";
    EXPECT_NE(base, digest(R"({"submission":"x","service":"svc","tasks":["ab"]})"));
    EXPECT_NE(base, digest(R"({"submission":"x","service":"svc","tasks":["b","a"]})"));
    EXPECT_NE(base, digest(R"({"submission":"x","service":"svd","tasks":["a","b"]})"));
}

TEST(CallerApi, AnswersSayNoMoreThanTheyMay)
{
    dispatch::Answer answer;
    answer.outcome = Outcome::Failed;
    answer.results = { "a part" };
    answer.error = { ErrorKind::TaskFailed, "task 1 failed", Outcome::Failed, Milliseconds(0) };
    const std::string body = answerBody("id", answer);
    EXPECT_EQ(body.find("a part"), std::string::npos) << "never a part of the results";
    EXPECT_EQ(answerStatus(answer), 502);
}

// [SECTION] Mutations

std::string mutate(std::string text, std::mt19937_64 &random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t place = random() % text.size();
        const std::uint64_t kind = random() % 4;
        if (kind == 0)
            text[place] = static_cast<char>(random());
        else if (kind == 1)
            text.erase(place, 1 + random() % 8);
        else if (kind == 2)
            text.insert(place, text.substr(random() % text.size(), random() % 16));
        else
            text.insert(place, "99999999999999999999");
    }
    return text;
}

TEST(Mutations, NoParserCrashesOrLosesAnError)
{
    std::mt19937_64 random(4);
    const std::string job = with(
            R"("deadlineMs":5000,"declaredMs":80,"class":"c","repeatable":true)");
    const std::string message = writeJson(encodeMessage(Message(agent::Start {})));
    const std::string spec = R"({"mostTasks":5,"mostPayloadBytes":100,"longestTimeMs":7})";
    const std::string settings = "[node]\nid = \"a\"\nroles = [\"agent\"]\n[agent]\nslots = 8\n"
                                 "lease_span = \"2s\"\n";
    std::size_t refused = 0;
    for (int i = 0; i < 20000; ++i) {
        Error reason;
        refused += readSubmission(mutate(job, random), false, &reason) ? 0 : 1;
        const auto json = parseJson(mutate(message, random), &reason);
        if (json)
            refused += decodeMessage<Message>(*json, &reason) ? 0 : 1;
        refused += control::parseServiceSpec(mutate(spec, random), &reason) ? 0 : 1;
        Error settingsReason;
        if (!settings::parseSettings(mutate(settings, random), "fuzz.toml", &settingsReason)) {
            EXPECT_FALSE(settingsReason.message.empty());
        }
    }
    EXPECT_GT(refused, 20000U);
}

} // namespace
} // namespace foxwing::node
