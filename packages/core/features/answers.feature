Feature: Answers are checked as a whole before anything is generated

    Scenario: All mistakes of a questionnaire are listed at once
        When the answers file "answers-mistakes.jsonc" is checked
        Then the answer mistakes equal the golden file "answers-mistakes.txt"

    Scenario Outline: A text that is not JSON with comments is refused with its place
        When the answers text <text> is checked
        Then the first answer mistake stands at "<place>"

        Examples:
            | text                               | place              |
            | '{ "deployment": }'                | line 1, column 17  |
            | '{ "a": 1, "a": 2 }'               | line 1, column 11  |
            | ''                                 | line 1, column 1   |

    Scenario: Deeply nested text is refused before it exhausts the stack
        When an answers text with 200000 nested lists is checked
        Then the first answer mistake stands at "line 1, column 33"

    Scenario: Random and mutated answers never throw and always give typed mistakes
        Then 2000 random answers and mutations of valid answers give answers or typed mistakes

    Scenario Outline: Two operations that match one call are found
        Then the paths "<first>" and "<second>" overlap: <overlap>

        Examples:
            | first      | second       | overlap |
            | /slots/*   | /slots/open  | true    |
            | /slots     | /slots/*     | false   |
            | /slots     | /slots/**    | true    |
            | /**        | /            | true    |
            | /a/*/c     | /a/b/d       | false   |
            | /a/*/c     | /*/b/c       | true    |
