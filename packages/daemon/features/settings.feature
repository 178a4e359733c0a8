Feature: Settings are checked as a whole before the daemon starts

    Scenario: All mistakes of a settings file are listed at once
        When the settings file "settings-mistakes.jsonc" is checked
        Then the settings mistakes equal the golden file "settings-mistakes.txt"
        And no settings mistake repeats the text "hidden-"

    Scenario: A secret in the wrong place is not repeated in a message
        When the settings text '{ "keys": "hidden-misplaced-token" }' is checked
        Then no settings mistake repeats the text "hidden-"
        When the settings text '{ "keys": { "operator": "hidden-misplaced-token" } }' is checked
        Then no settings mistake repeats the text "hidden-"

    Scenario: Random and mutated settings never throw and always give typed mistakes
        Then 2000 random settings and mutations of valid settings give settings or typed mistakes

    Scenario: A checked settings file names every mistake and exits with 2
        When tanagertrayd checks the settings file "settings-mistakes.jsonc"
        Then tanagertrayd exits with 2 and its error output equals the golden file "settings-mistakes.txt"
