/*
    Minimal use of the journal outside the daemon: counts how often the program was run.

    [SECTION] Main
*/
#include <cstdio>

#include <foxwing/journal/journal.h>

// [SECTION] Main

int main(int argc, char **argv)
{
    foxwing::Error reason;
    auto journal = foxwing::journal::Journal::open(argc > 1 ? argv[1] : "journal", &reason);
    if (!journal) {
        std::fprintf(stderr, "%s\n", reason.message.c_str());
        return 1;
    }
    const auto found = journal->takeRecovered();
    journal->append("run");
    if (!journal->sync(&reason))
        return 1;
    std::printf("run %zu times before\n", found.entries.size());
    return 0;
}
