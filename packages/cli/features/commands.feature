Feature: Each command prints stable output and returns an exit code that scripts can rely on

    Scenario Outline: A command prints the expected output and exit code
        Given an admin server in the state "<state>"
        When tanagertray runs with "<arguments>"
        Then tanagertray exits with <code> and its output equals the golden file "<golden>"

        Examples:
            | state        | arguments                                   | code | golden                   |
            | normal       | answers submit GOLDEN/answers-correct.jsonc | 0    | submit.txt               |
            | mistakes     | answers submit GOLDEN/answers-wrong.jsonc   | 1    | submit-mistakes.txt      |
            | normal       | answers submit GOLDEN/missing.jsonc         | 2    | submit-missing.txt       |
            | normal       | diff 12                                     | 0    | diff.txt                 |
            | normal       | diff twelve                                 | 2    | diff-usage.txt           |
            | normal       | revisions                                   | 0    | revisions.txt            |
            | normal       | accept 12                                   | 0    | accept.txt               |
            | normal       | --json accept 12 --wait                     | 0    | accept-wait-json.txt     |
            | lagging      | accept 12 --wait --timeout 0.2              | 1    | accept-lagging.txt       |
            | rejected     | accept 12 --wait                            | 1    | accept-host-rejected.txt |
            | conflict     | accept 12                                   | 1    | accept-conflict.txt      |
            | outage       | accept 12                                   | 3    | accept-outage.txt        |
            | outage       | accept 12 --json                            | 3    | accept-outage-json.txt   |
            | normal       | accept 12 --timeout soon                    | 2    | accept-timeout.txt       |
            | normal       | accept 12 13                                | 2    | extra-arguments.txt      |
            | normal       | reject 12                                   | 0    | reject.txt               |
            | normal       | status                                      | 0    | status.txt               |
            | normal       | status --json                               | 0    | status-json.txt          |
            | unauthorized | status                                      | 1    | unauthorized.txt         |
            | stopped      | status                                      | 3    | unreachable.txt          |
            | stopped      | reject 12                                   | 3    | unreachable-reject.txt   |
            | notJson      | status                                      | 3    | not-json.txt             |
            | normal       | hosts                                       | 0    | hosts.txt                |
            | normal       | explain board crews /ponds/3                | 0    | explain.txt              |
            | refused      | explain board crews /ponds/3 --method PUT   | 1    | explain-refused.txt      |
            | normal       | drain s1                                    | 0    | drain.txt                |
            | normal       | answers check GOLDEN/answers-correct.jsonc  | 0    | check.txt                |
            | normal       | answers check GOLDEN/answers-wrong.jsonc    | 1    | check-mistakes.txt       |
            | normal       | answers init --deployment azraq             | 0    | init.txt                 |
            | normal       | answers init --deployment Azraq!            | 2    | init-usage.txt           |
            | normal       | answers init GOLDEN/answers-correct.jsonc   | 1    | init-exists.txt          |
            | normal       | completion bash                             | 0    | completion-bash.txt      |
            | normal       | completion zsh                              | 0    | completion-zsh.txt       |
            | normal       | completion fish                             | 2    | completion-usage.txt     |

    Scenario Outline: The process prints the output of the command and exits with its code, and with 2 on usage errors
        Given an admin server in the state "<state>"
        When the tanagertray process runs with "<arguments>"
        Then tanagertray exits with <code> and its output equals the golden file "<golden>"

        Examples:
            | state    | arguments     | code | golden               |
            | normal   | revisions     | 0    | revisions.txt        |
            | conflict | accept 12     | 1    | accept-conflict.txt  |
            | stopped  | status        | 3    | unreachable.txt      |
            | normal   | status --nope | 2    | unknown-option.txt   |
            | normal   | stats         | 2    | unknown-command.txt  |
            | normal   | accept        | 2    | missing-argument.txt |

    Scenario: Requests contain the token and the operator's name
        Given an admin server in the state "normal"
        When tanagertray runs with "accept 12"
        Then the admin server received the token and the operator "dana"
        When tanagertray runs with "answers submit GOLDEN/answers-correct.jsonc"
        Then the admin server received the token and the operator "dana"

    Scenario: The template has no mistakes once its required numbers are filled in
        When the template of tanagertray answers init is filled in
        Then the filled-in template has no mistakes
