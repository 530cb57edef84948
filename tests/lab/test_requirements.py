from lab.requirements import ROOT, requirements_text


def test_requirements_file_matches_pyproject():
    assert (ROOT / "requirements.txt").read_text() == requirements_text()
